package router

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/budget/reclaim"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/fleet/relay"
	"rosevalve/internal/fleet/settings"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/protocol/head"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/report"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

const (
	maxPlatformConns = 64 // to the platform's services
	// maxPlatformResponse bounds one answer of the platform's services, in bytes.
	maxPlatformResponse = 16 << 20
	// platformWriteBuffer is the size in bytes of the send buffer of a connection to the platform's services.
	platformWriteBuffer = 64 << 10
	minReleaseTime      = 5 * time.Second // for returning tokens after the drain limit
	leavePropagation    = 2 * time.Second // time until all reachable routers have stopped listing a leaving router
)

// Router is one router process.
type Router struct {
	// Settings are the validated settings of the process.
	Settings settings.Settings
	// Log receives the log messages of the process.
	Log *log.Logger
	// SettingsFile is the settings file that is polled for changes; empty disables polling.
	SettingsFile string
	// ReadSettings reads and validates the settings again.
	ReadSettings func() (settings.Settings, error)
	// ReloadSignal receives a signal when the settings shall be reloaded; nil disables reloading by signal.
	ReloadSignal <-chan os.Signal
	// RepeatedStop receives signals to stop that arrive after the context of Run has ended; nil if there are none.
	RepeatedStop <-chan os.Signal

	currentSettings atomic.Pointer[settings.Settings] // replaced by reloads

	id           string                 // of this incarnation: the inner address, "#" and a random text
	leaving      atomic.Bool            // set when this router has announced that it leaves; callers are sent to others
	draining     atomic.Bool            // set when new requests are refused
	admission    drain.Admission        // which requests are accepted before that
	platformHTTP *fasthttp.Client       // calls the platform's services
	table        *relay.Table           // the platform's table, directly or through a peer
	catalogue    *catalogue.Catalogue   // the configuration
	ledger       *ledger.Ledger         // the rows of budgets in the table
	allotments   *allotment.Manager     // the tokens that this router has drawn from budgets
	witness      *witness.Books         // the books that this router keeps as a witness for other routers
	reclaimer    *reclaim.Reclaimer     // closes the holdings of dead routers
	targets      *pool.Pool             // chooses a target for each attempt
	queues       *queue.Queues          // requests that wait for a target
	reports      *report.Poller         // reads the load and cache reports of targets
	registry     *register.Registry     // the runs that this router knows
	runLocator   *register.Directory    // finds which router runs a request
	view         *membership.View       // the membership view of the fleet
	vmWatcher    *vmlist.Watcher        // the platform's VM list
	peers        *peer.Transport        // the connections to other routers
	directory    *entry.Directory       // the routers that callers may use
	quarantine   *quarantine.Quarantine // keeps prompts that crash engines away from them
	blockPoller  *quarantine.Poller     // reads the blocks of other routers
	crashes      *crash.Detector        // tells crashes of engines from broken connections
	gateway      *gateway.Gateway       // processes callers' requests
	executor     *operator.Executor     // executes operator commands
}

// Run serves callers, operators and other routers until ctx ends, then drains and
// returns. It returns early with an error if a component fails.
func (r *Router) Run(ctx context.Context) error {
	r.id = r.Settings.Router.InnerListen + "#" + rand.Text()[:8]
	r.currentSettings.Store(&r.Settings)
	r.build()
	innerListener, err := net.Listen("tcp", r.Settings.Router.InnerListen)
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	callerListener, err := socket.Listen("tcp", r.Settings.Router.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := r.server()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 12)
	start := func(f func() error) {
		go func() { failed <- f() }()
	}
	start(func() error { return r.catalogue.Run(background) })
	start(func() error { return r.view.Run(background) })
	start(func() error { return r.blockPoller.Run(background) })
	start(func() error { return r.quarantine.Run(background) })
	start(func() error { return r.runTargets(background) })
	start(func() error { return r.vmWatcher.Run(background) })
	start(func() error { return r.allotments.Run(background) })
	start(func() error { return r.reclaimer.Run(background) })
	start(func() error { return r.peers.Serve(background, innerListener) })
	start(func() error { return r.watchSettings(background) })
	start(func() error { return drain.ObserveSignals(background, r.RepeatedStop, r.recordRepeatedStop) })
	start(func() error { return server.Serve(callerListener) })
	r.Log.Info("router started", "id", r.id, "listen", r.Settings.Router.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("router stopped: %w", err)
	case <-ctx.Done():
	}
	return r.drain(server)
}

// recordRepeatedStop logs a signal to stop that arrived while the router stops.
func (r *Router) recordRepeatedStop(s os.Signal) {
	r.Log.Info("stop signal repeated", "id", r.id, "signal", s)
}

// build builds the components in the order of their dependencies.
func (r *Router) build() {
	r.buildPlatform()
	r.buildTargets()
	r.buildConfiguration()
	r.buildBudgets()
	r.buildFleet()
	r.buildRunLocator()
	r.buildQuarantine()
	r.buildRequests()
	r.addRequestCommands()
}

// buildPlatform builds the HTTP client of the platform's services and the client of its
// table, which relays through peers if the table cannot be reached.
func (r *Router) buildPlatform() {
	r.platformHTTP = newPlatformHTTP()
	client := &table.Client{Addr: r.Settings.Platform.Addr, HTTP: r.platformHTTP}
	r.table = &relay.Table{
		DirectCommit: client.Commit,
		DirectGet:    client.Get,
		DirectScan:   client.Scan,
		Call: func(ctx context.Context, addr, method string, in, out any) error {
			if method == inner.MethodTableScan {
				return r.peers.Fetch(ctx, addr, method, in, out)
			}
			return r.peers.Call(ctx, addr, method, in, out)
		},
		PeerAddrs: func() []string { return r.relayCandidates() },
	}
}

// newPlatformHTTP returns the HTTP client of the platform's services. The deadlines of its calls bound the time until an
// answer begins; one that has begun may take longer as long as it makes progress.
func newPlatformHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           maxPlatformConns,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxPlatformResponse,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.Dial(addr)
			if err != nil {
				return nil, err
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				// What waits in a large buffer would count as written.
				if err := tcp.SetWriteBuffer(platformWriteBuffer); err != nil {
					return nil, errors.Join(fmt.Errorf("set write buffer: %w", err), conn.Close())
				}
			}
			return &head.Conn{Conn: &socket.ProgressConn{Conn: conn}}, nil
		},
	}
}

// drain stops the router gracefully. It returns the errors of the steps that were not
// completed in time.
func (r *Router) drain(server *callers.Server) error {
	r.Log.Info("draining", "id", r.id)
	limit := r.settings().Router.DrainTimeout
	began := time.Now()
	r.admission.Begin(began, began.Add(limit))
	d := &drain.Drain{
		AnnounceLeaving: func(ctx context.Context) {
			r.leaving.Store(true)
			r.view.AnnounceLeaving(ctx)
		},
		AddressTTL:       r.Settings.Router.EntryMaxAge + leavePropagation,
		RestrictRequests: func() { r.draining.Store(true) },
		FinishSteps: []drain.Step{
			// Runs may continue after their callers have disconnected, and must be billed.
			{Name: "finish runs", Run: r.gateway.Close},
			{Name: "close caller connections", Run: server.Shutdown},
		},
		ReleaseSteps:    []drain.Step{{Name: "return tokens", Run: r.allotments.Close}},
		AnnounceStopped: r.view.AnnounceStopped,
		Timeout:         limit,
		MinReleaseTime:  minReleaseTime,
	}
	if err := d.Run(); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	r.Log.Info("drained", "id", r.id)
	return nil
}
