package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/inner"
)

var errLost = errors.New("message lost")

// network delivers messages between views in virtual time, with faults.
type network struct {
	loss      float64 // share of messages that are lost
	duplicate float64 // share of messages that arrive twice
	adjust    func(v *View)
	// config handles configuration requests, by inner address.
	config map[string]func(ctx context.Context, params json.RawMessage) (any, error)

	handlers sync.WaitGroup // running message handlers

	mu    sync.Mutex // guards the fields below
	rng   *rand.Rand
	nodes map[string]*node   // by inner address
	cuts  map[[2]string]bool // directed links that lose all messages
	bytes int64              // of all messages so far
	calls int64              // messages so far
}

// node is one router process of the network.
type node struct {
	net      *network
	view     *View
	stop     context.CancelFunc
	done     chan struct{}
	unfrozen chan struct{} // closed unless the process is frozen; guarded by net.mu
}

func newNetwork(seed uint64) *network {
	return &network{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*node),
		cuts:  make(map[[2]string]bool),
	}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250) }

// start runs a router at the address, after killing any that runs there.
func (n *network) start(addr, id string, epoch uint64, seeds ...string) *node {
	n.kill(addr)
	closed := make(chan struct{})
	close(closed)
	nd := &node{net: n, done: make(chan struct{}), unfrozen: closed}
	nd.view = &View{Seeds: seeds, Call: func(ctx context.Context, to, method string, in, out any) error {
		return nd.call(ctx, addr, to, method, in, out)
	}}
	if n.adjust != nil {
		n.adjust(nd.view)
	}
	nd.view.Join(inner.Member{ID: id, InnerAddr: addr, Region: "region-1", Epoch: epoch})
	ctx, stop := context.WithCancel(context.Background())
	nd.stop = stop
	n.mu.Lock()
	nd.view.random = rand.New(rand.NewPCG(n.rng.Uint64(), 2))
	n.nodes[addr] = nd
	n.mu.Unlock()
	go nd.run(ctx)
	return nd
}

func (nd *node) run(ctx context.Context) {
	defer close(nd.done)
	for ctx.Err() == nil {
		nd.wait(ctx)
		nd.view.runRound(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(nd.view.nextDelay()):
		}
	}
	nd.view.probes.Wait()
}

// wait blocks while the process is frozen.
func (nd *node) wait(ctx context.Context) {
	nd.net.mu.Lock()
	unfrozen := nd.unfrozen
	nd.net.mu.Unlock()
	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}

// kill stops the router at the address without an announcement.
func (n *network) kill(addr string) {
	n.unfreeze(addr) // its goroutines must be able to end
	n.mu.Lock()
	nd, ok := n.nodes[addr]
	delete(n.nodes, addr)
	n.mu.Unlock()
	if ok {
		nd.stop()
		<-nd.done
	}
}

// bytesSent returns the total size of all messages so far, in bytes.
func (n *network) bytesSent() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func (n *network) killAll() {
	n.mu.Lock()
	var addrs []string
	for addr := range n.nodes {
		addrs = append(addrs, addr)
	}
	n.mu.Unlock()
	for _, addr := range addrs {
		n.kill(addr)
	}
	n.handlers.Wait()
}

// freeze pauses the process at the address, as a suspended VM.
func (n *network) freeze(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok && nd.frozen() == nil {
		nd.unfrozen = make(chan struct{})
	}
}

// unfreeze resumes the process at the address.
func (n *network) unfreeze(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok && nd.frozen() != nil {
		close(nd.unfrozen)
	}
}

// frozen returns the channel that is closed when the frozen process resumes, or nil if it is not
// frozen. The caller holds net.mu.
func (nd *node) frozen() chan struct{} {
	select {
	case <-nd.unfrozen:
		return nil
	default:
		return nd.unfrozen
	}
}

// cut cuts or restores the link between two addresses, in both directions.
func (n *network) cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// route returns the receiver of a message, its delay and whether it arrives twice. The receiver is
// nil if the message is lost.
func (n *network) route(from, to string, size int) (nd *node, delay time.Duration, duplicated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += int64(size)
	n.calls++
	delay = time.Duration(1+n.rng.IntN(30)) * time.Millisecond
	duplicated = n.rng.Float64() < n.duplicate
	if n.cuts[[2]string{from, to}] || n.rng.Float64() < n.loss {
		return nil, delay, false
	}
	return n.nodes[to], delay, duplicated
}

// call sends a message from the node and decodes the answer into out.
func (nd *node) call(ctx context.Context, from, to, method string, in, out any) error {
	nd.wait(ctx)
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	answer, err := nd.net.deliver(ctx, from, to, method, body)
	nd.wait(context.Background())
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, out)
}

// deliver carries a message to its receiver and returns the encoded answer.
func (n *network) deliver(ctx context.Context, from, to, method string, body []byte) ([]byte, error) {
	nd, delay, duplicated := n.route(from, to, len(body))
	time.Sleep(delay)
	if nd == nil {
		<-ctx.Done()
		return nil, errLost
	}
	nd.wait(ctx)
	if ctx.Err() != nil {
		return nil, errLost
	}
	if duplicated {
		_, _ = nd.answerUntil(ctx, method, body)
	}
	answer, err := nd.answerUntil(ctx, method, body)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	back, delay, _ := n.route(to, from, len(b))
	time.Sleep(delay)
	if back == nil || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errLost
	}
	return b, nil
}

// answerUntil returns the node's answer, or errLost when ctx ends, so that a receiver that is frozen
// in its handler does not block the caller.
func (nd *node) answerUntil(ctx context.Context, method string, body []byte) (any, error) {
	var answer any
	var err error
	done := make(chan struct{})
	nd.net.handlers.Go(func() {
		defer close(done)
		answer, err = nd.answer(ctx, method, body)
	})
	select {
	case <-done:
		return answer, err
	case <-ctx.Done():
		return nil, errLost
	}
}

func (nd *node) answer(ctx context.Context, method string, body []byte) (any, error) {
	switch method {
	case inner.MethodHeartbeat:
		return nd.view.HandleHeartbeat(ctx, body)
	case inner.MethodProbe:
		return nd.view.HandleProbe(ctx, body)
	case inner.MethodConfiguration:
		return nd.net.config[nd.view.Self().InnerAddr](ctx, body)
	default:
		return inner.Hello{Sender: nd.view.Self()}, nil
	}
}

// states returns the view of the router at the address, by inner address.
func (n *network) states(addr string) map[string]inner.Member {
	n.mu.Lock()
	nd := n.nodes[addr]
	n.mu.Unlock()
	out := make(map[string]inner.Member)
	for _, m := range nd.view.Members() {
		out[m.InnerAddr] = m
	}
	return out
}
