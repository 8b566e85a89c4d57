package edge

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/evacuation"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/fleet/settings"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/ingress"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/warmup"
	"rosevalve/internal/workspace/plan"
	"rosevalve/platform"
)

const (
	// maintenanceInterval is the time between two runs of maintain.
	maintenanceInterval = 250 * time.Millisecond
	// rebalanceInterval is the time between checks for tokens that belong at other routers.
	rebalanceInterval = 500 * time.Millisecond
	// auxMaxBody bounds the body of a request to an auxiliary endpoint, in bytes; none needs a body.
	auxMaxBody = 4 << 10
)

// Edge is one router process.
type Edge struct {
	// Settings are the validated settings at the start.
	Settings settings.Settings
	// Events is the structured event log.
	Events *eventlog.Log
	// SettingsFile is the settings file that is polled for changes; empty disables polling.
	SettingsFile string
	// ReadSettings reads and validates the settings again.
	ReadSettings func() (settings.Settings, error)
	// ReloadSignal receives a signal when the settings shall be reloaded; nil disables reloading by signal.
	ReloadSignal <-chan os.Signal
	// RepeatedStop receives signals to stop that arrive after the context of Run has ended; nil if there are none.
	RepeatedStop <-chan os.Signal

	incarnation string // ID of this process, unique among all runs of the VM's router
	startTime   time.Time
	// sharedDescriptors is how many descriptors the connections of this process share.
	sharedDescriptors int
	targetConns       socket.Counter // connections to targets
	peerListener      *socket.BoundedListener
	currentSettings   atomic.Pointer[settings.Settings] // replaced by reloads
	stopBegan         atomic.Pointer[time.Time]         // nil before the drain begins
	admission         drain.Admission                   // which requests are accepted during the drain
	toldAddresses     toldAddresses
	plan              atomic.Pointer[plan.Plan] // configuration in force; nil before the first one
	store             *platform.Store
	storeDialer       socket.LastingDialer
	storeTimeouts     storeTimeouts
	configTable       *follow.Table   // local copy of the store's operator table, which holds the configuration
	targetTable       *follow.Table   // local copy of the store's table of target announcements
	oddTargets        map[string]bool // keys of the rows of targetTable that cannot be decoded; used only by its OnRows
	evacuations       evacuation.Set
	announced         announcements
	withdrawal        entry.Withdrawal           // used only by maintain
	withdrawn         atomic.Bool                // result of the last update of withdrawal
	wasOutdated       bool                       // used only by maintain
	slowReads         map[string]*table.Transfer // last slow read of each table that was logged; used only by maintain
	roster            *roster.Tracker
	warmup            *warmup.Limiter
	vagueTargets      map[string]bool // IDs of the targets that don't tell whether they are cold; used only by OnRows of targetTable
	placement         *placement.Placement
	tokens            *prepaid.Manager // prepaid tokens held by this router
	quarantine        *quarantine.Quarantine
	blockTable        *follow.Table // local copy of the store's table of blocks of the quarantine
	forwarder         *forward.Forwarder
	ingress           *ingress.Server
	view              *membership.View
	fleet             *entry.Selector // selects the routers that serve requests
	transport         *peer.Transport
	load              *loadMeter
	metrics           *metricSet
	memberLog         memberLogger
	directoryLog      directoryLogger
}

// Run serves until ctx ends, then drains and returns. It returns early if a component fails.
func (e *Edge) Run(ctx context.Context) error {
	e.startTime = time.Now()
	e.incarnation = prepaid.NewIncarnationID(e.Settings.Edge.VM, rand.Text()[:8])
	e.currentSettings.Store(&e.Settings)
	e.metrics = newMetricSet()
	e.slowReads = make(map[string]*table.Transfer)
	defer e.tuneGC()()
	defer eventlog.Start(e.Events.Run)()
	e.sharedDescriptors = e.readDescriptors()
	e.connect()
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	components := e.components(background, listeners)
	failed := make(chan error, len(components))
	for _, run := range components {
		go func() { failed <- run() }()
	}
	e.Events.Emit(eventlog.ProcessStarted, "life", e.incarnation, "listen", e.Settings.Router.Listen, "pid", os.Getpid())
	for {
		select {
		case err := <-failed:
			if err != nil {
				e.Events.Emit(eventlog.ProcessFailed, "life", e.incarnation, "err", err)
				return fmt.Errorf("edge stopped: %w", err)
			}
		case <-ctx.Done():
			return e.drain()
		}
	}
}

// components returns the functions that run until the process ends.
func (e *Edge) components(ctx context.Context, listeners map[string]net.Listener) []func() error {
	e.peerListener = e.bound(listeners[e.Settings.Router.InnerListen], "peers", peerShare)
	out := []func() error{
		func() error {
			return e.transport.Serve(ctx, e.peerListener)
		},
		func() error { return e.ingress.Serve(listeners[e.Settings.Router.Listen]) },
		func() error { return e.view.Run(ctx) },
		func() error { return e.configTable.Run(ctx) },
		func() error { return e.targetTable.Run(ctx) },
		func() error { return e.blockTable.Run(ctx) },
		func() error { return e.quarantine.Run(ctx) },
		func() error { return e.tokens.Run(ctx) },
		func() error { return e.watchSettings(ctx) },
		func() error { return drain.ObserveSignals(ctx, e.RepeatedStop, e.recordRepeatedStop) },
		func() error { return every(ctx, maintenanceInterval, e.maintain) },
		func() error { return every(ctx, rebalanceInterval, func(time.Time) { e.tokens.ReleaseIdle(ctx) }) },
		func() error { return every(ctx, loadInterval, e.measureLoad) },
	}
	aux := e.auxServer()
	for _, addr := range e.auxAddrs() {
		out = append(out, func() error { return aux.Serve(e.bound(listeners[addr], "auxiliary", auxShare)) })
	}
	return out
}

// auxAddrs returns the distinct listen addresses of the auxiliary endpoints, which may share one.
func (e *Edge) auxAddrs() []string {
	cfg := e.Settings.Edge
	addrs := []string{cfg.ReadyListen, cfg.DirectoryListen, cfg.MetricsListen}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// listen opens all listeners and returns them by address.
func (e *Edge) listen() (map[string]net.Listener, error) {
	out := make(map[string]net.Listener)
	for _, addr := range append(e.auxAddrs(), e.Settings.Router.InnerListen, e.Settings.Router.Listen) {
		l, err := socket.Listen("tcp4", addr)
		if err != nil {
			return nil, err
		}
		out[addr] = l
	}
	return out, nil
}

// bound returns a listener whose connections may use a share of the descriptors.
func (e *Edge) bound(l net.Listener, name string, share float64) *socket.BoundedListener {
	return &socket.BoundedListener{
		Listener: l, MaxConns: e.descriptorShare(share),
		OnClosed: func() { e.countClosed(name, callers.TooManyConnections.String()) },
		OnError:  func(err error) { e.Events.Emit(eventlog.ConnectionFailed, "err", err) },
	}
}

// every calls do once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			do(now)
		}
	}
}

// maintain drops expired placement state and passes the readiness of this router and the
// current members on to the components that depend on them.
func (e *Edge) maintain(now time.Time) {
	e.placement.Prune(now)
	e.warmup.Observe(now)
	e.updateWithdrawal(now)
	e.view.SetReady(e.ready())
	e.forwarder.RetryBudget.SetRouterCount(len(e.view.Members()))
	e.logSlowReads()
	e.logOutdated()
	e.recordEvacuations(e.evacuations.Expire(now), false)
	e.memberLog.update(e.innerAddr(), e.view.Members(), e.Events.Emit)
	e.directoryLog.update(e.innerAddr(), e.fleet.ServingDomain(e.Settings.Router.FailureDomain), e.view.Members(), e.Events.Emit)
}

// measureLoad measures the utilization of the VM and announces when this router becomes busy
// or stops being busy.
func (e *Edge) measureLoad(now time.Time) {
	used, changed, err := e.load.measure(now)
	if err != nil {
		e.Events.Emit(eventlog.LoadReadFailed, "err", err)
		return
	}
	if !changed {
		return
	}
	busy := e.load.busy.Load()
	e.view.SetBusy(busy)
	event := eventlog.RouterNotBusy
	if busy {
		event = eventlog.RouterBusy
	}
	e.Events.Emit(event, "processor_percent", int64(percent*used.cpu), "link_percent", int64(percent*used.link))
}

// ready reports whether this router can serve callers: it has the configuration and the targets,
// is not leaving, and is not withdrawn because of its load.
func (e *Edge) ready() bool {
	return e.plan.Load() != nil && !e.outdated() && e.targetTable.Loaded() && !e.leaving() && !e.withdrawn.Load()
}

// auxServer returns the server of the auxiliary endpoints: readiness, directory, metrics and debug.
func (e *Edge) auxServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.handleAux,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           auxIdleTimeout,
		ReadTimeout:           auxTimeout,
		WriteTimeout:          auxTimeout,
		MaxRequestBodySize:    auxMaxBody,
		ReduceMemoryUsage:     true,
	}
}
