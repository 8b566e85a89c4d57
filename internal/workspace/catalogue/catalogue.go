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
	failedPollInterval    = 3 * time.Second // at most, behind a poll that failed
	fleetPollsPerSecond   = 200
	defaultGossipInterval = time.Second
	refreshTimeout        = 15 * time.Second // many calls, each with the table client's timeout
)

// Catalogue keeps the newest snapshot that this router has seen.
type Catalogue struct {
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Scan reads rows with a prefix from the table.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// AskPeer asks the router at an inner address for what is newer.
	AskPeer func(ctx context.Context, addr string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error)
	// Addr is the inner address at which other routers reach this one.
	Addr string
	// Peers lists the inner addresses of the other routers; it is a hint.
	Peers func() []string
	// Archive stores a segment of the log of changes before its rows are removed.
	Archive func(ctx context.Context, name string, segment []byte) error
	// PollInterval is the least time between reads of the table.
	PollInterval time.Duration
	// GossipInterval is the time between questions to other routers.
	GossipInterval time.Duration
	// KeepChanges is the number of changes that stay in the table's log.
	KeepChanges uint64
	// OnChange is told of each snapshot that comes into force, in the order of their versions.
	OnChange func(s *Snapshot)
	// OnError is told of failed refreshes, which are tried again.
	OnError func(err error)

	newer   func(old, next *Snapshot) bool  // whether next replaces old; tests switch it off
	follows func(version, next uint64) bool // whether next is the change behind version; tests switch it off
	offset  func() uint64                   // where the rotation through the peers begins
	segment uint64                          // changes in an archived segment; tests make it small
	loaded  atomic.Bool                     // a snapshot was read from the table or a peer
	fresh   atomic.Bool                     // a version was installed that no peer has been told of
	behind  atomic.Bool                     // a peer's changes did not reach back to this router's version
	outage  atomic.Bool                     // the newest poll of the table failed
	heard   atomic.Uint64                   // the highest version that a peer has named
	teller  atomic.Pointer[string]          // the router that named it
	wake    atomic.Pointer[chan struct{}]   // starts a round of questions to peers
	cursor  atomic.Uint64                   // position in the rotation through the peers
	current atomic.Pointer[Snapshot]        // written under installing

	installing sync.Mutex // serialises installs, so that OnChange sees versions in order
}

// Current returns the snapshot in force.
func (c *Catalogue) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return emptySnapshot()
}

// Ready reports whether the configuration has been read from the table or from a peer.
func (c *Catalogue) Ready() bool { return c.loaded.Load() }

// Run keeps the snapshot up to date until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	wake := make(chan struct{}, 1)
	c.wake.Store(&wake)
	if c.offset == nil {
		c.offset = rand.Uint64
	}
	c.cursor.Store(c.offset())
	var wait sync.WaitGroup
	wait.Go(func() { c.pollTable(ctx) })
	if c.AskPeer != nil && c.Peers != nil {
		wait.Go(func() { c.pollPeers(ctx, wake) })
	}
	wait.Wait()
	return nil
}

// pollTable reads the table until ctx ends; it never waits for a peer.
func (c *Catalogue) pollTable(ctx context.Context) {
	wait := c.phase(c.pollInterval()) // routers that start together poll apart
	for {
		err := c.Refresh(ctx)
		c.outage.Store(err != nil)
		polls.Add(1)
		if err != nil {
			failedPolls.Add(1)
			c.report(err)
			c.wakePeers()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = c.pollInterval()
		if err != nil {
			wait = min(wait, failedPollInterval)
		}
	}
}

// phase returns this router's part of the interval.
func (c *Catalogue) phase(interval time.Duration) time.Duration {
	return time.Duration(c.offset() % uint64(interval))
}

// pollInterval spreads a bounded number of polls a second over the fleet.
//
// It never exceeds maxPollInterval, whatever the view of the fleet says.
func (c *Catalogue) pollInterval() time.Duration {
	least := c.PollInterval
	if least == 0 {
		least = defaultPollInterval
	}
	routers := 1
	if c.Peers != nil {
		routers += len(c.Peers())
	}
	shared := time.Duration(routers) * time.Second / fleetPollsPerSecond
	return min(max(shared, least), max(least, maxPollInterval))
}

// install puts the snapshot in force if it is newer than the one in force.
func (c *Catalogue) install(next *Snapshot) {
	c.installing.Lock()
	defer c.installing.Unlock()
	isNewer := c.newer
	if isNewer == nil {
		isNewer = newerVersion
	}
	first := !c.loaded.Load()
	if !first && !isNewer(c.Current(), next) {
		return
	}
	c.current.Store(next)
	installs.Add(1)
	if c.OnChange != nil {
		c.OnChange(next)
	}
	c.loaded.Store(true)
	c.fresh.Store(true)
	c.wakePeers() // each router tells a few others at once
	if next.problem != nil {
		c.report(fmt.Errorf("old value stays in force: %w", next.problem))
	}
}

func newerVersion(old, next *Snapshot) bool { return next.version > old.version }

func (c *Catalogue) report(err error) {
	if c.OnError != nil {
		c.OnError(err)
	}
}
