package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/claim"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/request/register"
	"rosevalve/internal/standin/engine"
	"rosevalve/internal/standin/platform"
	"rosevalve/internal/standin/service"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
)

const (
	testTokens    = 5                     // tokens of each completion
	testEngines   = 2                     // and as many plain services
	testInterval  = 10 * time.Millisecond // between tokens, and the duration of a service call
	testFirstByte = 2 * time.Second       // runner.Client.FirstByteTimeout
	testProgress  = time.Second           // runner.Client.ProgressTimeout

	testDialTimeout = time.Second // of connections to a machine that is paused

	idempotentPath = "/read" // of the plain services
)

// testFleet is a fleet of routers with its table and targets, in virtual time.
type testFleet struct {
	store     *platform.Store
	engines   map[string]*engine.Server
	services  map[string]*service.Server
	listeners map[string]*pipeListener
	nodes     []*node

	check func(record) error // further check of each answer in a history; may be nil

	runCtx    context.Context // cancelled by close
	cancelRun context.CancelFunc

	mu               sync.Mutex // guards the fields below
	faults           []connFault
	tableOutage      bool
	lostCommits      int // number of next commits that are applied, but whose answer is lost
	tableSilentUntil time.Time
	sentInSilence    []table.Commit
	delayedCommits   int // number of next commits that are applied late, after an unknown outcome
	closed           bool
	conns            []net.Conn

	targetConns map[string][]net.Conn
}

// node is one router. The fleet's mu guards dead and conns.
type node struct {
	fleet   *testFleet
	gateway *Gateway
	tokens  *allotment.Manager
	targets *pool.Pool
	client  *runner.Client
	server  *fasthttp.Server
	addr    string
	leaving atomic.Bool

	draining  atomic.Bool
	admission drain.Admission
	dead      bool
	accepted  []net.Conn // of callers and other routers
	conns     []net.Conn // opened by the router
}

var errTableDown = fmt.Errorf("down: %w", table.ErrUnavailable)

func newTestFleet(ctx context.Context, routers int) (*testFleet, error) {
	fleet := &testFleet{
		store:     platform.NewStore(),
		engines:   make(map[string]*engine.Server),
		services:  make(map[string]*service.Server),
		listeners: make(map[string]*pipeListener),

		targetConns: make(map[string][]net.Conn),
	}
	fleet.runCtx, fleet.cancelRun = context.WithCancel(ctx)
	items := []catalogue.Item{
		item("workspace", "care", catalogue.Workspace{Name: "care", Weight: 1, KeyHashes: []string{catalogue.HashKey("secret")}}),
		item("service", "beds", catalogue.Service{
			Name: "beds", TokensPerCall: 1,
			Routes: []catalogue.Route{{Method: "POST", Path: idempotentPath, Idempotent: true}},
		}),
	}
	for i := range testEngines {
		addr := fmt.Sprintf("10.0.1.%d:80", i+1)
		fleet.engines[addr] = &engine.Server{Models: []string{"m"}, TokenInterval: testInterval}
		fleet.serve(addr, fleet.engines[addr].Serve)
		items = append(items, item("target", addr, catalogue.Target{Addr: addr, Models: []string{"m"}}))
		addr = fmt.Sprintf("10.0.2.%d:80", i+1)
		fleet.services[addr] = &service.Server{Delay: testInterval}
		fleet.serve(addr, fleet.services[addr].Serve)
		items = append(items, item("target", addr, catalogue.Target{Addr: addr, Service: "beds"}))
	}
	configuration := &catalogue.Catalogue{Commit: fleet.commit, Get: fleet.get, Scan: fleet.scan}
	if _, err := configuration.Accept(ctx, 0, catalogue.Change{CommandID: "c", Items: items}); err != nil {
		return nil, err
	}
	budgets := &ledger.Ledger{Holder: "ops", Commit: fleet.commit, Get: fleet.get, Scan: fleet.scan}
	if err := budgets.Create(ctx, ledger.BudgetID{Workspace: "care", Name: "b"}, 1_000_000, "grant"); err != nil {
		return nil, err
	}
	for i := range routers {
		if err := fleet.addNode(ctx, fmt.Sprintf("10.0.0.%d:80", i+1)); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func item(kind, name string, v any) catalogue.Item {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return catalogue.Item{Kind: kind, Name: name, Value: b}
}

func (f *testFleet) serve(addr string, serve func(net.Listener) error) {
	l := newPipeListener()
	f.listeners[addr] = l
	go func() { _ = serve(l) }()
}

func (f *testFleet) addNode(ctx context.Context, addr string) error {
	targets := &pool.Pool{}
	n := &node{fleet: f, addr: addr, targets: targets}
	queues := &queue.Queues{Pick: targets.Reserve, Slots: targets.Slots, ProbeDelay: targets.ProbeDelay}
	targets.OnFreeSlot = queues.GrantFreed
	go func() { _ = targets.Run(f.runCtx) }()
	configuration := &catalogue.Catalogue{Commit: n.commit, Get: n.get, Scan: n.scan, OnChange: targets.Update}
	if err := configuration.Refresh(ctx); err != nil {
		return err
	}
	n.tokens = &allotment.Manager{Ledger: &ledger.Ledger{Holder: addr, Commit: n.commit, Get: n.get, Scan: n.scan}, DrawSize: demand.SizeFixed(10_000)}
	client := &runner.Client{FirstByteTimeout: testFirstByte, ProgressTimeout: testProgress, Dial: n.dialTarget}
	n.client = client
	routers := &runner.Client{FirstByteTimeout: testFirstByte + connCheckInterval, ProgressTimeout: testProgress + connCheckInterval, Dial: n.dial}
	directory := &register.Directory{Self: n.member, Members: f.members, Call: n.deliver}
	n.gateway = &Gateway{
		Snapshot: configuration.Current,
		Register: &register.Registry{},
		Tokens:   n.tokens,
		Dispatcher: &dispatch.Dispatcher{
			Acquire: queues.Acquire,
			Stream:  client.Stream,
			Resume:  client.Resume,
			Cancel:  client.Cancel,
			Call:    client.CallService,
		},
		Claims:      &claim.Registry{Commit: n.commit, Get: n.get},
		Stopping:    n.leaving.Load,
		Draining:    n.draining.Load,
		Accepts:     n.admission.Accepts,
		Limits:      admission.Limits{MaxTokens: 100, DefaultTokens: testTokens},
		Incarnation: addr,
		Directory:   directory,
		StreamFrom:  routers.StreamFrom,
		Log:         log.New(io.Discard),
	}
	f.nodes = append(f.nodes, n)
	n.server = &fasthttp.Server{Handler: n.gateway.Handle, CloseOnShutdown: true}
	f.serve(addr, n.server.Serve)
	return nil
}

func (n *node) member() inner.Member {
	return inner.Member{ID: n.addr, InnerAddr: n.addr, CallerAddr: n.addr}
}

func (f *testFleet) members() []inner.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []inner.Member
	for _, n := range f.nodes {
		if !n.dead {
			out = append(out, n.member())
		}
	}
	return out
}

// deliver calls the handler of an inner message at the router with the address.
func (n *node) deliver(ctx context.Context, addr, method string, in, out any) error {
	for _, dest := range n.fleet.nodes {
		if dest.addr != addr || n.isDead() || dest.isDead() {
			continue
		}
		if !n.fleet.listeners[addr].gate.waitUntil(ctx) {
			return ctx.Err()
		}
		params, err := json.Marshal(in)
		if err != nil {
			return err
		}
		handlers := map[string]func(context.Context, json.RawMessage) (any, error){
			inner.MethodRunBegin:  dest.gateway.Directory.HandleRegister,
			inner.MethodRunUpdate: dest.gateway.Directory.HandleUpdateLocation,
			inner.MethodRunEnd:    dest.gateway.Directory.HandleRemove,
		}
		result, err := handlers[method](ctx, params)
		if err != nil {
			return err
		}
		b, err := json.Marshal(result)
		if err != nil {
			return err
		}
		return json.Unmarshal(b, out)
	}
	return errors.New("unreachable")
}

func (n *node) isDead() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.dead
}

// kill closes all connections of the router and makes its dials and table operations fail. Those of its
// callers and of other routers come first: a process that has ended tells nobody that its own connections broke.
func (n *node) kill() {
	n.fleet.mu.Lock()
	n.dead = true
	conns := slices.Concat(n.accepted, n.conns)
	n.fleet.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (n *node) dial(addr string) (net.Conn, error) {
	if n.isDead() {
		return nil, errors.New("dead")
	}
	conn, err := n.fleet.dial(addr)
	if err != nil {
		return nil, err
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.conns = append(n.conns, conn)
	return conn, nil
}

// dialTarget opens a connection to a target with the next of the fleet's faults.
func (n *node) dialTarget(addr string) (net.Conn, error) {
	fault := n.fleet.nextFault()
	if fault.Refuse {
		return nil, errors.New("refused")
	}
	conn, err := n.dial(addr)
	if err != nil {
		return nil, err
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.targetConns[addr] = append(n.fleet.targetConns[addr], conn)
	return &faultyConn{Conn: conn, fault: fault}, nil
}

// killTarget closes a target's listener and connections.
func (f *testFleet) killTarget(addr string) {
	_ = f.listeners[addr].Close()
	f.mu.Lock()
	conns := f.targetConns[addr]
	f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (f *testFleet) nextFault() connFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return connFault{}
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

// dial opens a connection, which close closes.
func (f *testFleet) dial(addr string) (net.Conn, error) {
	f.mu.Lock()
	for _, n := range f.nodes {
		if n.addr == addr && n.dead {
			f.mu.Unlock()
			return nil, errors.New("refused")
		}
	}
	f.mu.Unlock()
	conn, err := f.listeners[addr].dial()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, conn)
	for _, n := range f.nodes {
		if n.addr == addr {
			n.accepted = append(n.accepted, conn)
		}
	}
	return conn, nil
}

// close closes all listeners and connections, so that all goroutines of the fleet return.
func (f *testFleet) close() {
	f.mu.Lock()
	f.closed = true
	f.tableOutage = false
	f.cancelRun()
	conns := f.conns
	f.mu.Unlock()
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}
