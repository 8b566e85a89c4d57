package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/standin/platform"
)

const linkDelay = time.Millisecond

// link is how one router reaches the table.
type link struct {
	down  bool
	delay time.Duration
	lose  int           // commits whose answer is lost
	late  time.Duration // commits report an unknown outcome and take effect after it
}

// node is one router's VM with its present incarnation.
type node struct {
	cat  *Catalogue
	stop context.CancelFunc
	link link
	sets int           // changes of the link
	lag  time.Duration // of its answers to other routers
}

// world is a fleet before one table, with the oracle's record of what the table applied.
type world struct {
	store   *platform.Store
	disable func(c *Catalogue) // switches a mechanism off
	wait    sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	nodes    []*node
	cut      map[[2]int]bool
	applied  []Change // by version, the first at 0
	ids      map[string]int
	accepted uint64
	reads    int
	problems []error
}

func newWorld(routers int, disable func(c *Catalogue)) *world {
	w := &world{store: platform.NewStore(), disable: disable, cut: make(map[[2]int]bool), ids: make(map[string]int)}
	w.nodes = make([]*node, routers)
	for i := range w.nodes {
		w.nodes[i] = &node{}
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Errorf(format, args...))
}

// start runs a new incarnation of router i.
func (w *world) start(i int) {
	n := w.nodes[i]
	w.mu.Lock()
	least, sets := w.accepted, n.sets // in force at once behind a restart, if the table is well
	well := !n.link.down && n.link.delay <= 500*time.Millisecond
	w.mu.Unlock()
	seen := uint64(0) // newest version in force in this incarnation
	c := &Catalogue{
		Addr:        strconv.Itoa(i),
		KeepChanges: 3,
		segment:     4,
		Archive:     func(context.Context, string, []byte) error { return nil },
		Peers:       func() []string { return w.peers(i) },
		OnChange: func(s *Snapshot) {
			if seen == 0 {
				w.checkFirst(n, s, least, well, sets)
			}
			seen = w.check(seen, s)
		},
		offset: func() uint64 { return uint64(i) },
	}
	c.Commit = func(ctx context.Context, cm table.Commit) (uint64, error) { return w.commit(ctx, n, cm) }
	c.Get = func(ctx context.Context, keys ...string) ([]table.Row, error) {
		return w.read(ctx, n, func() []table.Row { return w.store.Get(keys) })
	}
	c.Scan = func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
		return w.read(ctx, n, func() []table.Row { return w.store.Scan(prefix, after, limit) })
	}
	c.AskPeer = func(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
		return w.ask(ctx, i, addr, in)
	}
	if w.disable != nil {
		w.disable(c)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	n.cat, n.stop = c, stop
	w.mu.Unlock()
	w.wait.Go(func() { _ = c.Run(ctx) })
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	w.wait.Wait()
}

func (w *world) peers(self int) []string {
	var out []string
	for i := range w.nodes {
		if i != self {
			out = append(out, strconv.Itoa(i))
		}
	}
	return out
}

func (w *world) link(n *node) link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.link
}

// checkFirst lets no restarted router go back while it reaches the table.
func (w *world) checkFirst(n *node, s *Snapshot, least uint64, well bool, sets int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if well && n.sets == sets && s.version < least {
		w.problems = append(w.problems, fmt.Errorf("restarted with version %d behind %d", s.version, least))
	}
}

// check is the oracle of what comes into force: only higher versions, each exactly as accepted.
func (w *world) check(seen uint64, s *Snapshot) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.version < seen {
		w.problems = append(w.problems, fmt.Errorf("went back from version %d to %d", seen, s.version))
	}
	if s.version > uint64(len(w.applied)) {
		w.problems = append(w.problems, fmt.Errorf("version %d was never accepted", s.version))
		return s.version
	}
	if got, want := describe(s.Items()), describe(replay(w.applied[:s.version])); got != want {
		w.problems = append(w.problems, fmt.Errorf("version %d is %s, want %s", s.version, got, want))
	}
	return s.version
}

func replay(changes []Change) []Item {
	items := make(map[string]Item)
	for _, ch := range changes {
		for _, item := range ch.Items {
			items[item.Name] = item
			if item.Deleted {
				delete(items, item.Name)
			}
		}
	}
	var out []Item
	for _, item := range items {
		out = append(out, item)
	}
	return out
}

func describe(items []Item) string {
	var parts []string
	for _, item := range items {
		parts = append(parts, fmt.Sprintf("%s@%d=%s", item.Name, item.Version, item.Value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// apply commits to the store and records the changes in the order of their versions.
func (w *world) apply(cm table.Commit) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, err := w.store.Commit(cm)
	if err != nil {
		return 0, err
	}
	for _, p := range cm.Puts {
		var ch Change
		if p.Delete || !strings.HasPrefix(p.Key, changePrefix) {
			continue
		}
		if err := json.Unmarshal(p.Value, &ch); err != nil {
			return 0, err
		}
		w.ids[ch.CommandID]++
		if w.ids[ch.CommandID] > 1 {
			w.problems = append(w.problems, fmt.Errorf("command %s changed something twice", ch.CommandID))
		}
		if ch.Version != uint64(len(w.applied))+1 {
			w.problems = append(w.problems, fmt.Errorf("version %d was accepted twice", ch.Version))
			continue
		}
		w.applied = append(w.applied, ch)
	}
	return version, nil
}

func (w *world) commit(ctx context.Context, n *node, cm table.Commit) (uint64, error) {
	l := w.link(n)
	if l.down {
		return 0, table.ErrUnavailable
	}
	if l.late > 0 {
		w.wait.Go(func() {
			time.Sleep(l.late)
			_, _ = w.apply(cm)
		})
		return 0, table.ErrUnknownOutcome
	}
	if err := sleep(ctx, l.delay+linkDelay); err != nil {
		w.wait.Go(func() {
			time.Sleep(l.delay)
			_, _ = w.apply(cm)
		})
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	version, err := w.apply(cm)
	if err == nil && l.lose > 0 {
		w.setLink(n, func(l *link) { l.lose-- })
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

// read delivers an answer that may be old by the delay of the link.
func (w *world) read(ctx context.Context, n *node, rows func() []table.Row) ([]table.Row, error) {
	l := w.link(n)
	if l.down {
		return nil, table.ErrUnavailable
	}
	w.mu.Lock()
	w.reads++
	w.mu.Unlock()
	out := rows()
	if err := sleep(ctx, l.delay+linkDelay); err != nil {
		return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	return out, nil
}

func (w *world) setCut(i, j int, isCut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]int{min(i, j), max(i, j)}] = isCut
}

func (w *world) setLag(n *node, lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.lag = lag
}

func (w *world) readCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

func (w *world) setLink(n *node, set func(l *link)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	set(&n.link)
	n.sets++
}

func (w *world) ask(ctx context.Context, from int, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
	to, err := strconv.Atoi(addr)
	if err != nil {
		return inner.ConfigurationResponse{}, err
	}
	w.mu.Lock()
	isCut := w.cut[[2]int{min(from, to), max(from, to)}]
	c, lag := w.nodes[to].cat, w.nodes[to].lag
	w.mu.Unlock()
	if isCut || c == nil {
		_ = sleep(ctx, time.Second)
		return inner.ConfigurationResponse{}, errors.New("peer does not answer")
	}
	out := c.Answer(ctx, in)
	return out, sleep(ctx, lag+linkDelay)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
