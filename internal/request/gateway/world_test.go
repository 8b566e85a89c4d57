package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/chat"
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

// pipeListener hands one end of each pipe to a server.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("refused")
	}
}

// connFault breaks one connection at a point; byte counts of 0 stand for never.
type connFault struct {
	Refuse     bool
	CutWrite   int
	CutRead    int
	SilentRead int
}

// faultyConn is a connection that breaks as its fault tells.
type faultyConn struct {
	net.Conn
	fault         connFault
	read, written int
}

func (c *faultyConn) Write(b []byte) (int, error) {
	left := c.fault.CutWrite - 1 - c.written
	if c.fault.CutWrite > 0 && len(b) > left {
		n, _ := c.Conn.Write(b[:left])
		c.written += n
		_ = c.Close()
		return n, errors.New("connection reset")
	}
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	limit := max(c.fault.CutRead, c.fault.SilentRead) - 1
	if limit >= 0 {
		if c.read >= limit && c.fault.CutRead > 0 {
			_ = c.Close()
			return 0, io.EOF
		}
		if c.read >= limit {
			return c.discard()
		}
		b = b[:min(len(b), limit-c.read)]
	}
	n, err := c.Conn.Read(b)
	c.read += n
	return n, err
}

// discard loses all that arrives until the read's deadline.
func (c *faultyConn) discard() (int, error) {
	var b [512]byte
	for {
		if _, err := c.Conn.Read(b[:]); err != nil {
			return 0, err
		}
	}
}

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
	n.purse = &allotment.Purse{Ledger: &ledger.Ledger{Holder: addr, Commit: n.commit, Get: n.get, Scan: n.scan}, Size: allotment.SizeFixed(10_000)}
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

func (w *world) commit(_ context.Context, c table.Commit) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.outage:
		return 0, errTableDown
	case w.lost > 0:
		w.lost--
		_, _ = w.store.Commit(c)
		return 0, table.ErrUnknownOutcome
	case w.delayed > 0:
		w.delayed--
		time.AfterFunc(3*time.Second, func() { _, _ = w.store.Commit(c) })
		return 0, table.ErrUnknownOutcome
	}
	return w.store.Commit(c)
}

func (w *world) get(_ context.Context, keys ...string) ([]table.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage {
		return nil, errTableDown
	}
	return w.store.Get(keys), nil
}

func (w *world) scan(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outage {
		return nil, errTableDown
	}
	return w.store.Scan(prefix, after, limit), nil
}

// cut reports whether the node's table operations fail. Those of a dead node
// succeed without effect once the world has ended, so that its loops end.
func (n *node) cut() (down, ended bool) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.dead, n.world.ended
}

func (n *node) commit(ctx context.Context, c table.Commit) (uint64, error) {
	if down, _ := n.cut(); down {
		return 0, errTableDown
	}
	return n.world.commit(ctx, c)
}

func (n *node) get(ctx context.Context, keys ...string) ([]table.Row, error) {
	if down, ended := n.cut(); down {
		if ended {
			return nil, nil
		}
		return nil, errTableDown
	}
	return n.world.get(ctx, keys...)
}

func (n *node) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if down, _ := n.cut(); down {
		return nil, errTableDown
	}
	return n.world.scan(ctx, prefix, after, limit)
}

// reply is what a caller has received.
type reply struct {
	status int
	id     string
	body   []byte
	header func(string) string
	err    error
}

// refusal is an error in an answer.
type refusal struct {
	Error struct {
		Code        string `json:"code"`
		Run         string `json:"run"`
		Param       string `json:"param"`
		RetryAfterS int64  `json:"retry_after_s"`
	} `json:"error"`
}

// send sends a request to the router as a caller would.
func (n *node) send(path, body string, headers ...string) reply {
	req := fasthttp.AcquireRequest()
	resp := &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + n.addr + path)
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetConnectionClose()
	req.SetBodyString(body)
	client := &fasthttp.HostClient{Addr: n.addr, Dial: n.world.dial, MaxIdemponentCallAttempts: 1}
	err := client.Do(req, resp)
	return reply{
		status: resp.StatusCode(),
		id:     string(resp.Header.Peek(HeaderRequestID)),
		body:   bytes.Clone(resp.Body()),
		header: func(name string) string { return string(resp.Header.Peek(name)) },
		err:    err,
	}
}

func (r reply) refusal() refusal {
	var out refusal
	_ = json.Unmarshal(r.body, &out)
	return out
}

// completionBody is a request whose prompt is its key.
func completionBody(key string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testTokens, key)
}

// wantText is the answer that the engines give to completionBody.
func wantText(key string) string {
	content, _ := json.Marshal(key)
	text := ""
	for i := range int64(testTokens) {
		text += engine.Token(engine.Seed(content), i)
	}
	return text
}

func (r reply) text() string {
	var c chat.Completion
	if json.Unmarshal(r.body, &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}

// engineRuns counts the runs that began at engines for the request id.
func (w *world) engineRuns(id string) int {
	sum := 0
	for _, e := range w.engines {
		for run, n := range e.CountsNow().Runs {
			if run == id || len(run) > len(id) && run[:len(id)+1] == id+"." {
				sum += n
			}
		}
	}
	return sum
}

// serviceRuns counts the runs at services by call id and by path.
func (w *world) serviceRuns() (calls, paths map[string]int) {
	calls, paths = make(map[string]int), make(map[string]int)
	for _, s := range w.services {
		c, p := s.Counts()
		for id, n := range c {
			calls[id] += n
		}
		for path, n := range p {
			paths[path] += n
		}
	}
	return calls, paths
}

// bills returns the settled bills by request key.
func (w *world) bills(t *testing.T) map[string]ledger.BillRow {
	t.Helper()
	out := make(map[string]ledger.BillRow)
	for _, row := range w.store.Scan("bill/", "", 1000) {
		var b ledger.BillRow
		if err := row.Decode(&b); err != nil {
			t.Fatal(err)
		}
		out[b.RequestKey] = b
	}
	return out
}
