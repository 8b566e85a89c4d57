package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
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
	testTokens    = 5
	testEngines   = 2
	testInterval  = 10 * time.Millisecond
	testFirstByte = 2 * time.Second
	testProgress  = time.Second
)

// world is a fleet of routers with its table and targets, in virtual time.
type world struct {
	store     *platform.Store
	engines   map[string]*engine.Server
	services  map[string]*service.Server
	listeners map[string]*pipeListener
	nodes     []*node

	background context.Context // ends with the world
	stop       context.CancelFunc

	mu      sync.Mutex // guards the fields below
	faults  []connFault
	outage  bool
	lost    int // commits whose answer gets lost
	delayed int // commits that take effect late, after an unknown outcome
	ended   bool
	conns   []net.Conn

	targetConns map[string][]net.Conn
}

// node is one router.
type node struct {
	world   *world
	gateway *Gateway
	purse   *allotment.Purse
	client  *runner.Client
	server  *fasthttp.Server
	addr    string
	leaving atomic.Bool

	draining atomic.Bool
	dead     bool
	conns    []net.Conn
}

var errTableDown = fmt.Errorf("down: %w", table.ErrUnavailable)

func newWorld(ctx context.Context, routers int) (*world, error) {
	w := &world{
		store:     platform.NewStore(),
		engines:   make(map[string]*engine.Server),
		services:  make(map[string]*service.Server),
		listeners: make(map[string]*pipeListener),

		targetConns: make(map[string][]net.Conn),
	}
	w.background, w.stop = context.WithCancel(ctx)
	items := []catalogue.Item{
		item("workspace", "care", catalogue.Workspace{Name: "care", Weight: 1, KeyHashes: []string{catalogue.HashKey("secret")}}),
		item("service", "beds", catalogue.Service{Name: "beds", TokensPerCall: 1}),
	}
	for i := range testEngines {
		addr := fmt.Sprintf("10.0.1.%d:80", i+1)
		w.engines[addr] = &engine.Server{Models: []string{"m"}, TokenInterval: testInterval}
		w.serve(addr, w.engines[addr].Serve)
		items = append(items, item("target", addr, catalogue.Target{Addr: addr, Models: []string{"m"}}))
		addr = fmt.Sprintf("10.0.2.%d:80", i+1)
		w.services[addr] = &service.Server{Delay: testInterval}
		w.serve(addr, w.services[addr].Serve)
		items = append(items, item("target", addr, catalogue.Target{Addr: addr, Service: "beds"}))
	}
	first := &catalogue.Catalogue{Commit: w.commit, Get: w.get, Scan: w.scan}
	if _, err := first.Accept(ctx, 0, catalogue.Change{CommandID: "c", Items: items}); err != nil {
		return nil, err
	}
	books := &ledger.Ledger{Holder: "ops", Commit: w.commit, Get: w.get, Scan: w.scan}
	if err := books.Create(ctx, ledger.BudgetID{Workspace: "care", Name: "b"}, 1_000_000, "grant"); err != nil {
		return nil, err
	}
	for i := range routers {
		if err := w.addNode(ctx, fmt.Sprintf("10.0.0.%d:80", i+1)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func item(kind, name string, v any) catalogue.Item {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return catalogue.Item{Kind: kind, Name: name, Value: b}
}

func (w *world) serve(addr string, serve func(net.Listener) error) {
	l := newPipeListener()
	w.listeners[addr] = l
	go func() { _ = serve(l) }()
}

func (w *world) addNode(ctx context.Context, addr string) error {
	n := &node{world: w, addr: addr}
	targets := &pool.Pool{}
	queues := &queue.Queues{Pick: targets.Pick, Places: targets.Places, ProbeIn: targets.ProbeIn}
	targets.OnRoom = queues.Room
	go func() { _ = targets.Run(w.background) }()
	configuration := &catalogue.Catalogue{Commit: n.commit, Get: n.get, Scan: n.scan, OnChange: targets.Update}
	if err := configuration.Refresh(ctx); err != nil {
		return err
	}
	n.purse = &allotment.Purse{Ledger: &ledger.Ledger{Holder: addr, Commit: n.commit, Get: n.get, Scan: n.scan}, Size: demand.SizeFixed(10_000)}
	client := &runner.Client{FirstByte: testFirstByte, Progress: testProgress, Dial: n.dialTarget}
	n.client = client
	routers := &runner.Client{FirstByte: testFirstByte + presenceInterval, Progress: testProgress + presenceInterval, Dial: n.dial}
	homes := &register.Homes{Self: n.member, Members: w.members, Call: n.call}
	n.gateway = &Gateway{
		Snapshot: configuration.Current,
		Register: &register.Register{},
		Purse:    n.purse,
		Dispatcher: &dispatch.Dispatcher{
			Acquire: queues.Acquire,
			Stream:  client.Stream,
			Resume:  client.Resume,
			Cancel:  client.Cancel,
			Call:    client.Call,
		},
		Claims:   &claim.Registry{Commit: n.commit, Get: n.get},
		Leaving:  n.leaving.Load,
		Draining: n.draining.Load,
		Limits:   admission.Limits{MaxTokens: 100, DefaultTokens: testTokens},
		Holder:   addr,
		Homes:    homes,
		Attach:   routers.Attach,
		Log:      log.New(io.Discard),
	}
	w.nodes = append(w.nodes, n)
	n.server = &fasthttp.Server{Handler: n.gateway.Handle, CloseOnShutdown: true}
	w.serve(addr, n.server.Serve)
	return nil
}

func (n *node) member() inner.Member {
	return inner.Member{ID: n.addr, InnerAddr: n.addr, CallerAddr: n.addr}
}

func (w *world) members() []inner.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []inner.Member
	for _, n := range w.nodes {
		if !n.dead {
			out = append(out, n.member())
		}
	}
	return out
}

// call delivers an inner message.
func (n *node) call(ctx context.Context, addr, method string, in, out any) error {
	for _, to := range n.world.nodes {
		if to.addr != addr || n.isDead() || to.isDead() {
			continue
		}
		params, err := json.Marshal(in)
		if err != nil {
			return err
		}
		handlers := map[string]func(context.Context, json.RawMessage) (any, error){
			inner.MethodRunBegin: to.gateway.Homes.HandleBegin,
			inner.MethodRunPlace: to.gateway.Homes.HandlePlace,
			inner.MethodRunEnd:   to.gateway.Homes.HandleEnd,
		}
		reply, err := handlers[method](ctx, params)
		if err != nil {
			return err
		}
		b, err := json.Marshal(reply)
		if err != nil {
			return err
		}
		return json.Unmarshal(b, out)
	}
	return errors.New("unreachable")
}

func (n *node) isDead() bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.dead
}

// kill cuts the router off from everything at once.
func (n *node) kill() {
	n.world.mu.Lock()
	n.dead = true
	conns := n.conns
	n.world.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (n *node) dial(addr string) (net.Conn, error) {
	if n.isDead() {
		return nil, errors.New("dead")
	}
	conn, err := n.world.dial(addr)
	if err != nil {
		return nil, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.conns = append(n.conns, conn)
	return conn, nil
}

// dialTarget opens a connection with the next fault.
func (n *node) dialTarget(addr string) (net.Conn, error) {
	fault := n.world.nextFault()
	if fault.Refuse {
		return nil, errors.New("refused")
	}
	conn, err := n.dial(addr)
	if err != nil {
		return nil, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.targetConns[addr] = append(n.world.targetConns[addr], conn)
	return &faultyConn{Conn: conn, fault: fault}, nil
}

// killTarget ends a target: its connections break and it takes no new ones.
func (w *world) killTarget(addr string) {
	_ = w.listeners[addr].Close()
	w.mu.Lock()
	conns := w.targetConns[addr]
	w.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (w *world) nextFault() connFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return connFault{}
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// dial opens a connection that close ends.
func (w *world) dial(addr string) (net.Conn, error) {
	w.mu.Lock()
	for _, n := range w.nodes {
		if n.addr == addr && n.dead {
			w.mu.Unlock()
			return nil, errors.New("refused")
		}
	}
	w.mu.Unlock()
	conn, err := w.listeners[addr].dial()
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
	for _, n := range w.nodes {
		if n.addr == addr {
			n.conns = append(n.conns, conn)
		}
	}
	return conn, nil
}

// close ends the world, so that all of its goroutines return.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	w.outage = false
	w.stop()
	conns := w.conns
	w.mu.Unlock()
	for _, l := range w.listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}
