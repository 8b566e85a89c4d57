package router

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/fleet/settings"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

const (
	platformConns = 64
	closeTimeout  = 5 * time.Second
)

// Router is one router process.
type Router struct {
	// Settings are the checked options.
	Settings settings.Settings
	// Log receives what happens.
	Log *log.Logger

	id        string
	draining  atomic.Bool
	table     *table.Client
	catalogue *catalogue.Catalogue
	ledger    *ledger.Ledger
	purse     *allotment.Purse
	targets   *pool.Pool
	register  *register.Register
	view      *membership.View
	links     *peer.Links
	directory *entry.Directory
	gateway   *gateway.Gateway
	executor  *operator.Executor
}

// Run serves until ctx ends, then drains and returns.
func (r *Router) Run(ctx context.Context) error {
	r.id = r.Settings.InnerListen + "#" + rand.Text()[:8]
	r.connect()
	innerListener, err := net.Listen("tcp", r.Settings.InnerListen)
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	callerListener, err := net.Listen("tcp", r.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := r.server()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 5)
	start := func(f func() error) {
		go func() { failed <- f() }()
	}
	start(func() error { return r.catalogue.Run(background) })
	start(func() error { return r.view.Run(background) })
	start(func() error { return r.purse.Run(background) })
	start(func() error { return r.links.Serve(background, innerListener) })
	start(func() error { return server.Serve(callerListener) })
	r.Log.Info("router started", "id", r.id, "listen", r.Settings.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("router stopped: %w", err)
	case <-ctx.Done():
	}
	return r.drain(server)
}

// connect builds the parts and joins them.
func (r *Router) connect() {
	cfg := r.Settings
	r.table = &table.Client{Addr: cfg.PlatformAddr, HTTP: &fasthttp.Client{
		MaxConnsPerHost:           platformConns,
		MaxIdemponentCallAttempts: 1,
	}}
	r.targets = &pool.Pool{}
	r.catalogue = &catalogue.Catalogue{
		Commit:   r.table.Commit,
		Get:      r.table.Get,
		Scan:     r.table.Scan,
		OnChange: r.targets.Update,
		OnError:  func(err error) { r.Log.Warn("refresh configuration", "err", err) },
	}
	r.ledger = &ledger.Ledger{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get, Scan: r.table.Scan}
	r.purse = &allotment.Purse{
		Ledger:         r.ledger,
		DrawSize:       cfg.DrawSize,
		SettleInterval: cfg.SettleInterval,
		OnError:        func(err error) { r.Log.Warn("settle bills", "err", err) },
	}
	r.register = &register.Register{}
	r.connectFleet()
	r.connectRequests()
	r.executor = &operator.Executor{Catalogue: r.catalogue, Ledger: r.ledger, Routers: r.routerRows}
}

func (r *Router) connectFleet() {
	cfg := r.Settings
	r.links = &peer.Links{}
	r.view = &membership.View{Seeds: cfg.Seeds, Interval: cfg.HeartbeatInterval, Call: r.links.Call}
	r.links.Self = r.view.Self
	r.links.Handlers = map[string]peer.Handler{inner.MethodHeartbeat: r.view.HandleHeartbeat}
	r.view.Join(inner.Member{
		ID:            r.id,
		InnerAddr:     cfg.InnerListen,
		CallerAddr:    cfg.Listen,
		FailureDomain: cfg.FailureDomain,
		Region:        cfg.Region,
	})
	r.directory = &entry.Directory{Routers: r.entries, MaxAge: cfg.EntryMaxAge}
	r.directory.Start()
}

func (r *Router) connectRequests() {
	cfg := r.Settings
	client := &runner.Client{Progress: cfg.Progress}
	client.Start()
	r.gateway = &gateway.Gateway{
		Snapshot: r.catalogue.Current,
		Register: r.register,
		Purse:    r.purse,
		Dispatcher: &dispatch.Dispatcher{
			Engine:  r.targets.Engine,
			Service: r.targets.Service,
			Stream:  client.Stream,
			Resume:  client.Resume,
			Cancel:  client.Cancel,
			Call:    client.Call,
		},
		Claims:   &claim.Registry{Commit: r.table.Commit, Get: r.table.Get},
		Entries:  func(ctx *fasthttp.RequestCtx) entry.Answer { return r.directory.Answer(ctx.RemoteAddr().String()) },
		Draining: r.draining.Load,
		Limits:   admission.Limits{MaxTokens: cfg.MaxTokens, DefaultTokens: cfg.DefaultTokens},
		Holder:   r.id,
		Log:      r.Log,
	}
}

// entries lists the routers that take new callers.
func (r *Router) entries() []entry.Entry {
	var out []entry.Entry
	for _, m := range r.view.Members() {
		if m.State == inner.Alive {
			out = append(out, entry.Entry{URL: "http://" + m.CallerAddr, FailureDomain: m.FailureDomain})
		}
	}
	return out
}

func (r *Router) routerRows() [][]string {
	var out [][]string
	for _, m := range r.view.Members() {
		out = append(out, []string{m.ID, m.CallerAddr, m.FailureDomain, m.State.String()})
	}
	return out
}

// drain leaves the entries, waits for callers to notice and for streams to end, and gives tokens back.
func (r *Router) drain(server *fasthttp.Server) error {
	r.Log.Info("draining", "id", r.id)
	r.view.Leave()
	time.Sleep(r.Settings.EntryMaxAge)
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.DrainLimit)
	defer cancel()
	shutdownErr := server.ShutdownWithContext(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if err := errors.Join(shutdownErr, r.purse.Close(closeCtx)); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	r.Log.Info("drained", "id", r.id)
	return nil
}
