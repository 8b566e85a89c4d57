package catalogue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	defaultPollInterval   = time.Second
	maxPollInterval       = 5500 * time.Millisecond
	maxFailedPollInterval = 3 * time.Second // upper bound after a failed poll
	fleetPollsPerSecond   = 200             // of all routers together
	defaultGossipInterval = time.Second
	refreshTimeout        = 15 * time.Second // covers several calls, each with the timeout of the table client
)

// Catalogue keeps the configuration snapshot of this router up to date.
type Catalogue struct {
	// Commit applies a commit to the table and returns the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get returns the rows with the keys from the table; absent rows are omitted.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Scan returns at most limit rows of the table whose keys have the prefix and are
	// greater than after, in ascending order of their keys.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// QueryPeer sends the request to the router at an inner address.
	QueryPeer func(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error)
	// Addr is the inner address of this router.
	Addr string
	// Peers returns the inner addresses of the other routers. The list may be incomplete
	// or outdated.
	Peers func() []string
	// Archive stores a segment of the change log before its rows are removed from the
	// table; nil disables compaction.
	Archive func(ctx context.Context, name string, segment []byte) error
	// PollInterval is the minimum time between polls of the table; 0 means
	// defaultPollInterval.
	PollInterval time.Duration
	// GossipInterval is the time between gossip rounds, in which this router asks others
	// for newer changes; 0 means defaultGossipInterval.
	GossipInterval time.Duration
	// KeepChanges is the number of most recent changes that compaction leaves in the
	// table; 0 means defaultKeepChanges.
	KeepChanges uint64
	// OnChange is called with each installed snapshot, in the order of their versions.
	OnChange func(s *Snapshot)
	// OnError is called with errors of background work, such as a failed poll, which is
	// retried, or an item that could not be decoded.
	OnError func(err error)

	isNewer         func(old, next *Snapshot) bool  // reports whether next replaces old; nil except in tests
	isSuccessor     func(version, next uint64) bool // reports whether next directly follows version; nil except in tests
	startOffset     func() uint64                   // sets the initial delay of polls and the first peer of the rotation; random except in tests
	segmentChanges  uint64                          // number of changes in an archived segment; 0 except in tests
	loaded          atomic.Bool                     // a snapshot has been installed
	announcePending atomic.Bool                     // the installed version has not yet been announced to peers
	needsFullCopy   atomic.Bool                     // a peer no longer had all changes after the version of this router
	pollFailed      atomic.Bool                     // the most recent poll of the table failed
	highestReported atomic.Uint64                   // highest version passed to ObserveVersion; it may be missing here
	peerAhead       atomic.Pointer[string]          // inner address of the router that most recently reported a higher version
	gossipTrigger   atomic.Pointer[chan struct{}]   // starts a gossip round at once; set by Run
	cursor          atomic.Uint64                   // position in the rotation through the peers
	current         atomic.Pointer[Snapshot]        // written with installMu held

	installMu sync.Mutex // guards writes to current and calls to OnChange, so that versions only increase
}

// Current returns the installed snapshot, or an empty one before the first install.
func (c *Catalogue) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return emptySnapshot()
}

// Ready reports whether a snapshot has been read from the table or received from a peer.
func (c *Catalogue) Ready() bool { return c.loaded.Load() }

// Run polls the table and gossips with peers until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	trigger := make(chan struct{}, 1)
	c.gossipTrigger.Store(&trigger)
	if c.startOffset == nil {
		c.startOffset = rand.Uint64
	}
	c.cursor.Store(c.startOffset())
	var wait sync.WaitGroup
	wait.Go(func() { c.pollTable(ctx) })
	if c.QueryPeer != nil && c.Peers != nil {
		wait.Go(func() { c.runGossip(ctx, trigger) })
	}
	wait.Wait()
	return nil
}

// pollTable polls the table until ctx ends. It never waits for a peer.
func (c *Catalogue) pollTable(ctx context.Context) {
	wait := c.initialDelay(c.pollInterval()) // spreads the polls of routers that start together
	for {
		err := c.Refresh(ctx)
		c.pollFailed.Store(err != nil)
		polls.Add(1)
		if err != nil {
			failedPolls.Add(1)
			c.reportError(err)
			c.triggerGossip()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = c.pollInterval()
		if err != nil {
			wait = min(wait, maxFailedPollInterval)
		}
	}
}

// initialDelay returns the delay of this router before its first periodic action, which
// is less than the interval.
func (c *Catalogue) initialDelay(interval time.Duration) time.Duration {
	return time.Duration(c.startOffset() % uint64(interval))
}

// pollInterval returns the time between polls of the table. It grows with the number of
// routers, so that the fleet as a whole makes at most fleetPollsPerSecond polls per second.
//
// It never exceeds the longer of maxPollInterval and PollInterval, however many routers
// Peers returns.
func (c *Catalogue) pollInterval() time.Duration {
	minInterval := c.PollInterval
	if minInterval == 0 {
		minInterval = defaultPollInterval
	}
	routers := 1
	if c.Peers != nil {
		routers += len(c.Peers())
	}
	fleetInterval := time.Duration(routers) * time.Second / fleetPollsPerSecond
	return min(max(fleetInterval, minInterval), max(minInterval, maxPollInterval))
}

// install makes next the current snapshot if it is the first one or newer than the current one.
func (c *Catalogue) install(next *Snapshot) {
	c.installMu.Lock()
	defer c.installMu.Unlock()
	newer := c.isNewer
	if newer == nil {
		newer = hasHigherVersion
	}
	first := !c.loaded.Load()
	if !first && !newer(c.Current(), next) {
		return
	}
	c.current.Store(next)
	installs.Add(1)
	if c.OnChange != nil {
		c.OnChange(next)
	}
	c.loaded.Store(true)
	c.announcePending.Store(true)
	c.triggerGossip() // announces the version to newVersionFanOut peers without waiting for the next round
	if next.decodeErr != nil {
		c.reportError(fmt.Errorf("previous values stay in force: %w", next.decodeErr))
	}
}

func hasHigherVersion(old, next *Snapshot) bool { return next.version > old.version }

func (c *Catalogue) reportError(err error) {
	if c.OnError != nil {
		c.OnError(err)
	}
}
