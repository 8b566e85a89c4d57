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

// link is the connection of one router to the table, with its faults.
type link struct {
	down        bool
	delay       time.Duration
	lostAnswers int           // number of next commits that are applied but answered with an unknown outcome
	commitDelay time.Duration // if set, commits return an unknown outcome at once and are applied after it
}

// node is the VM of one router with the current incarnation of the router.
type node struct {
	cat         *Catalogue
	stop        context.CancelFunc
	link        link
	linkChanges int           // number of changes of link
	answerDelay time.Duration // delay of its answers to peers
}

// simulation is a fleet of routers that share one table, with an oracle that records the
// applied changes and checks every installed snapshot.
type simulation struct {
	store   *platform.Store
	disable func(c *Catalogue) // disables a mechanism of each new router; may be nil
	wait    sync.WaitGroup

	mu              sync.Mutex // guards the fields below
	nodes           []*node
	partitions      map[[2]int]bool // pairs of routers, the lower index first, that cannot reach each other
	applied         []Change        // in order; the change with version v has index v-1
	timesApplied    map[string]int  // number of applied commits by command id
	highestAccepted uint64          // highest version that an operator received as accepted
	reads           int             // reads of the table by all routers
	violations      []error         // found by the oracle
}

func newSimulation(routers int, disable func(c *Catalogue)) *simulation {
	sim := &simulation{store: platform.NewStore(), disable: disable, partitions: make(map[[2]int]bool), timesApplied: make(map[string]int)}
	sim.nodes = make([]*node, routers)
	for i := range sim.nodes {
		sim.nodes[i] = &node{}
	}
	for i := range sim.nodes {
		sim.start(i)
	}
	return sim
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Errorf(format, args...))
}

// start starts a new incarnation of router i.
func (sim *simulation) start(i int) {
	n := sim.nodes[i]
	sim.mu.Lock()
	minVersion, linkChanges := sim.highestAccepted, n.linkChanges // its first snapshot must have at least minVersion if the table is reachable
	tableReachable := !n.link.down && n.link.delay <= 500*time.Millisecond
	sim.mu.Unlock()
	lastVersion := uint64(0) // installed by this incarnation
	c := &Catalogue{
		Addr:           strconv.Itoa(i),
		KeepChanges:    3,
		segmentChanges: 4,
		Archive:        func(context.Context, string, []byte) error { return nil },
		Peers:          func() []string { return sim.peers(i) },
		OnChange: func(s *Snapshot) {
			if lastVersion == 0 {
				sim.checkRestart(n, s, minVersion, tableReachable, linkChanges)
			}
			lastVersion = sim.checkInstalled(lastVersion, s)
		},
		startOffset: func() uint64 { return uint64(i) },
	}
	c.Commit = func(ctx context.Context, cm table.Commit) (uint64, error) { return sim.commit(ctx, n, cm) }
	c.Get = func(ctx context.Context, keys ...string) ([]table.Row, error) {
		return sim.read(ctx, n, func() []table.Row { return sim.store.Get(keys) })
	}
	c.Scan = func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
		return sim.read(ctx, n, func() []table.Row { return sim.store.Scan(prefix, after, limit) })
	}
	c.QueryPeer = func(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
		return sim.askPeer(ctx, i, addr, in)
	}
	if sim.disable != nil {
		sim.disable(c)
	}
	ctx, stop := context.WithCancel(context.Background())
	sim.mu.Lock()
	n.cat, n.stop = c, stop
	sim.mu.Unlock()
	sim.wait.Go(func() { _ = c.Run(ctx) })
}

func (sim *simulation) close() {
	for _, n := range sim.nodes {
		n.stop()
	}
	sim.wait.Wait()
}

func (sim *simulation) peers(self int) []string {
	var out []string
	for i := range sim.nodes {
		if i != self {
			out = append(out, strconv.Itoa(i))
		}
	}
	return out
}

func (sim *simulation) link(n *node) link {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return n.link
}

// checkRestart checks that the first snapshot of a restarted router is not older than
// minVersion, if its link was and stayed good enough to read the table.
func (sim *simulation) checkRestart(n *node, s *Snapshot, minVersion uint64, tableReachable bool, linkChanges int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if tableReachable && n.linkChanges == linkChanges && s.version < minVersion {
		sim.violations = append(sim.violations, fmt.Errorf("restarted at version %d, below the accepted version %d", s.version, minVersion))
	}
}

// checkInstalled checks that versions never decrease and that the snapshot contains exactly
// the items of the changes accepted up to its version. It returns that version.
func (sim *simulation) checkInstalled(lastVersion uint64, s *Snapshot) uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if s.version < lastVersion {
		sim.violations = append(sim.violations, fmt.Errorf("went back from version %d to %d", lastVersion, s.version))
	}
	if s.version > uint64(len(sim.applied)) {
		sim.violations = append(sim.violations, fmt.Errorf("version %d was never accepted", s.version))
		return s.version
	}
	if got, want := describe(s.Items()), describe(replay(sim.applied[:s.version])); got != want {
		sim.violations = append(sim.violations, fmt.Errorf("version %d is %s, want %s", s.version, got, want))
	}
	return s.version
}

// replay returns the items that result from applying the changes in order.
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

// describe returns the items as a string that does not depend on their order.
func describe(items []Item) string {
	var parts []string
	for _, item := range items {
		parts = append(parts, fmt.Sprintf("%s@%d=%s", item.Name, item.Version, item.Value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// apply commits to the store, and records and checks the changes of the commit.
func (sim *simulation) apply(cm table.Commit) (uint64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	version, err := sim.store.Commit(cm)
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
		sim.timesApplied[ch.CommandID]++
		if sim.timesApplied[ch.CommandID] > 1 {
			sim.violations = append(sim.violations, fmt.Errorf("command %s took effect twice", ch.CommandID))
		}
		if ch.Version != uint64(len(sim.applied))+1 {
			sim.violations = append(sim.violations, fmt.Errorf("version %d was accepted twice", ch.Version))
			continue
		}
		sim.applied = append(sim.applied, ch)
	}
	return version, nil
}

// commit commits to the table over the link of the node.
func (sim *simulation) commit(ctx context.Context, n *node, cm table.Commit) (uint64, error) {
	l := sim.link(n)
	if l.down {
		return 0, table.ErrUnavailable
	}
	if l.commitDelay > 0 {
		sim.wait.Go(func() {
			time.Sleep(l.commitDelay)
			_, _ = sim.apply(cm)
		})
		return 0, table.ErrUnknownOutcome
	}
	if err := sleep(ctx, l.delay+linkDelay); err != nil {
		sim.wait.Go(func() {
			time.Sleep(l.delay)
			_, _ = sim.apply(cm)
		})
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	version, err := sim.apply(cm)
	if err == nil && l.lostAnswers > 0 {
		sim.setLink(n, func(l *link) { l.lostAnswers-- })
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

// read reads the table over the link of the node. The result is outdated by the delay of
// the link when it arrives.
func (sim *simulation) read(ctx context.Context, n *node, rows func() []table.Row) ([]table.Row, error) {
	l := sim.link(n)
	if l.down {
		return nil, table.ErrUnavailable
	}
	sim.mu.Lock()
	sim.reads++
	sim.mu.Unlock()
	out := rows()
	if err := sleep(ctx, l.delay+linkDelay); err != nil {
		return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	return out, nil
}

func (sim *simulation) setPartitioned(i, j int, partitioned bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.partitions[[2]int{min(i, j), max(i, j)}] = partitioned
}

func (sim *simulation) setAnswerDelay(n *node, answerDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n.answerDelay = answerDelay
}

func (sim *simulation) readCount() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.reads
}

func (sim *simulation) setLink(n *node, set func(l *link)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	set(&n.link)
	n.linkChanges++
}

// askPeer delivers a request from one router to the router at addr.
func (sim *simulation) askPeer(ctx context.Context, from int, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
	to, err := strconv.Atoi(addr)
	if err != nil {
		return inner.ConfigurationResponse{}, err
	}
	sim.mu.Lock()
	partitioned := sim.partitions[[2]int{min(from, to), max(from, to)}]
	c, answerDelay := sim.nodes[to].cat, sim.nodes[to].answerDelay
	sim.mu.Unlock()
	if partitioned || c == nil {
		_ = sleep(ctx, time.Second)
		return inner.ConfigurationResponse{}, errors.New("peer does not answer")
	}
	out := c.Answer(ctx, in)
	return out, sleep(ctx, answerDelay+linkDelay)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
