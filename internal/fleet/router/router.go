package router

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
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
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/report"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

const (
	platformConns = 64
	closeTimeout  = 5 * time.Second
	leaveSpread   = 2 * time.Second // until every router that is reached leaves a leaving one out
)

// Router is one router process.
type Router struct {
	// Settings are the checked options.
	Settings settings.Settings
	// Log receives what happens.
	Log *log.Logger

	id        string
	leaving   atomic.Bool // callers are sent elsewhere
	draining  atomic.Bool // new requests are refused
	platform  *fasthttp.Client
	table     *relay.Table
	catalogue *catalogue.Catalogue
	ledger    *ledger.Ledger
	purse     *allotment.Purse
	books     *witness.Books
	reclaimer *reclaim.Reclaimer
	targets   *pool.Pool
	queues    *queue.Queues
	reports   *report.Reader
	register  *register.Register
	homes     *register.Homes
	view      *membership.View
	vms       *vmlist.Watcher
	links     *peer.Links
	directory *entry.Directory
	gateway   *gateway.Gateway
	executor  *operator.Executor
}

// Run serves until ctx ends, then drains and returns.
func (r *Router) Run(ctx context.Context) error {
	r.id = r.Settings.Router.InnerListen + "#" + rand.Text()[:8]
	r.connect()
	innerListener, err := net.Listen("tcp", r.Settings.Router.InnerListen)
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	callerListener, err := net.Listen("tcp", r.Settings.Router.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := r.server()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 8)
	start := func(f func() error) {
		go func() { failed <- f() }()
	}
	start(func() error { return r.catalogue.Run(background) })
	start(func() error { return r.view.Run(background) })
	start(func() error { return r.runTargets(background) })
	start(func() error { return r.vms.Run(background) })
	start(func() error { return r.purse.Run(background) })
	start(func() error { return r.reclaimer.Run(background) })
	start(func() error { return r.links.Serve(background, innerListener) })
	start(func() error { return r.serveCallers(callerListener, server) })
	r.Log.Info("router started", "id", r.id, "listen", r.Settings.Router.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("router stopped: %w", err)
	case <-ctx.Done():
	}
	return r.drain(server)
}

// connect builds the parts and joins them.
func (r *Router) connect() {
	r.connectPlatform()
	r.connectTargets()
	r.connectConfiguration()
	r.connectBudgets()
	r.connectFleet()
	r.connectRuns()
	r.connectRequests()
	r.connectRequestCommands()
}

// connectPlatform builds the clients of the platform's services.
func (r *Router) connectPlatform() {
	r.platform = &fasthttp.Client{MaxConnsPerHost: platformConns, MaxIdemponentCallAttempts: 1}
	client := &table.Client{Addr: r.Settings.Platform.Addr, HTTP: r.platform}
	r.table = &relay.Table{
		DirectCommit: client.Commit,
		DirectGet:    client.Get,
		DirectScan:   client.Scan,
		Call: func(ctx context.Context, addr, method string, in, out any) error {
			return r.links.Call(ctx, addr, method, in, out)
		},
		Peers: func() []string { return r.relays() },
	}
}

// drain stops the router gracefully.
func (r *Router) drain(server *fasthttp.Server) error {
	r.Log.Info("draining", "id", r.id)
	d := &drain.Drain{
		Announce: func(ctx context.Context) {
			r.leaving.Store(true)
			r.view.Leave(ctx)
		},
		Age:    r.Settings.Router.EntryMaxAge + leaveSpread,
		Refuse: func() { r.draining.Store(true) },
		Finish: []drain.Part{
			// Runs may go on after their callers have left, and must be billed.
			{Name: "finish runs", Run: r.gateway.Close},
			{Name: "close caller connections", Run: server.ShutdownWithContext},
		},
		HandOver:     []drain.Part{{Name: "give tokens back", Run: r.purse.Close}},
		Quit:         r.view.Quit,
		Limit:        r.Settings.Router.DrainLimit,
		HandOverTime: closeTimeout,
	}
	if err := d.Run(); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	r.Log.Info("drained", "id", r.id)
	return nil
}
