package prepaid

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// After a rollback of the store, all incarnations must be accounted for that may have drawn since the copy was made,
// those that have ended included. Only an incarnation that knows all of them can tell which these are: one that has run for
// as long as a copy can be old, or that has learnt from such a one when it started.

const (
	// coverageInterval is the time between two requests for what other routers know.
	coverageInterval = 200 * time.Millisecond
	// coverageTimeout limits one of them.
	coverageTimeout = time.Second
	// coverageGap is the time without a look at the other incarnations after which some may have run unseen,
	// as when this process was paused.
	coverageGap = 5 * time.Second
)

// RecentIncarnations is what an incarnation knows of those that run, or have run within the maximum age of a copy of the
// store.
type RecentIncarnations struct {
	// Covered is the time since when it knows of all that have run, or the maximum age of a copy if that is
	// shorter.
	Covered time.Duration
	// LastSeen are the times since when it does not know them to run, by ID.
	LastSeen map[string]time.Duration
	// FinalUsage is what some of them have told that they have used.
	FinalUsage []FinalUsage
}

// coverage is what this incarnation knows of other incarnations that run or have ended.
type coverage struct {
	mu sync.Mutex // guards the fields below
	// since is the time from which on all that have run are known, and notedAt when those that run were last
	// noted.
	since, notedAt time.Time
	// lastSeen are the times until which they may have run, by ID.
	lastSeen map[string]time.Time
	// unreached are the incarnations that have not answered.
	unreached map[string]bool
}

// isComplete reports whether all incarnations are known that have run within the maximum age of a copy.
func (c *coverage) isComplete(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.since) >= maxCopyAge && now.Sub(c.notedAt) <= coverageGap
}

// extend records that all incarnations are known that have run since a time.
func (c *coverage) extend(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since.Before(c.since) {
		c.since = since
	}
}

// noteSeen records that incarnations may have run until the given time.
func (c *coverage) noteSeen(at time.Time, incarnations ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSeen == nil {
		c.lastSeen = make(map[string]time.Time)
	}
	for _, incarnation := range incarnations {
		if at.After(c.lastSeen[incarnation]) {
			c.lastSeen[incarnation] = at
		}
	}
}

// recent returns the times since when incarnations are not known to run, and forgets those that have ended too long ago.
func (c *coverage) recent(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]time.Duration, len(c.lastSeen))
	for incarnation, at := range c.lastSeen {
		age := now.Sub(at)
		if age >= maxCopyAge {
			delete(c.lastSeen, incarnation)
			continue
		}
		out[incarnation] = age
	}
	return out
}

// recentIncarnations returns the incarnations of other VMs that run, or may have run within the maximum age of a copy
// of the store.
func (m *Manager) recentIncarnations() []string {
	out := slices.Clone(m.RecentIncarnations())
	for incarnation := range m.coverage.recent(time.Now()) {
		out = append(out, incarnation)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// noteRunning records which incarnations run.
func (m *Manager) noteRunning() {
	now := time.Now()
	m.coverage.noteLook(now)
	running := slices.DeleteFunc(slices.Clone(m.RecentIncarnations()), m.IsLost)
	m.coverage.noteSeen(now, running...)
}

// noteLook records when those that run are noted. After a gap, coverage begins anew.
func (c *coverage) noteLook(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.notedAt) > coverageGap {
		c.since = now
	}
	c.notedAt = now
}

// Recent returns what this incarnation knows of those that run or have ended lately.
func (m *Manager) Recent() RecentIncarnations {
	m.init()
	m.noteRunning()
	now := time.Now()
	m.coverage.mu.Lock()
	covered := now.Sub(m.coverage.since)
	m.coverage.mu.Unlock()
	out := RecentIncarnations{Covered: min(covered, maxCopyAge), LastSeen: m.coverage.recent(now)}
	for incarnation := range out.LastSeen {
		if usage, ok := m.reclaims.completeUsage(incarnation); ok {
			out.FinalUsage = append(out.FinalUsage, usage)
		}
	}
	return out
}

// runCoverage asks other routers for the incarnations that ran before this one started, or while it was paused, whenever
// not enough of them is known, until ctx ends.
func (m *Manager) runCoverage(ctx context.Context) {
	formerAdded := false
	for sleep(ctx, coverageInterval) {
		m.noteRunning()
		if incarnation, ok := m.nextCoverage(); ok {
			formerAdded = m.fetchRecent(ctx, incarnation) || formerAdded
		}
		if _, settled := m.eras.current(); settled && formerAdded {
			m.closeFormer(ctx)
			formerAdded = false
		}
	}
}

// nextCoverage returns the incarnation to ask next, those that have not answered last; none if enough is known.
func (m *Manager) nextCoverage() (string, bool) {
	if m.coverage.isComplete(time.Now()) {
		return "", false
	}
	running := slices.DeleteFunc(slices.Clone(m.RecentIncarnations()), func(incarnation string) bool { return !m.IsStaying(incarnation) })
	if len(running) == 0 {
		return "", false
	}
	rand.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	m.coverage.mu.Lock()
	defer m.coverage.mu.Unlock()
	for _, incarnation := range running {
		if !m.coverage.unreached[incarnation] {
			return incarnation, true
		}
	}
	m.coverage.unreached = nil
	return running[0], true
}

// fetchRecent asks one incarnation. It reports whether that knows of a former one of this VM that this one did not.
func (m *Manager) fetchRecent(ctx context.Context, incarnation string) (formerAdded bool) {
	ctx, cancel := context.WithTimeout(ctx, coverageTimeout)
	defer cancel()
	asked := time.Now()
	in, err := m.FetchRecent(ctx, incarnation)
	if err != nil || in.Covered < 0 {
		m.coverage.noteUnreached(incarnation)
		return false
	}
	for other, ago := range in.LastSeen {
		m.coverage.noteSeen(time.Now().Add(-max(0, ago)), other)
	}
	for _, usage := range in.FinalUsage {
		// One that is out of range is refused, and the incarnation is waited for.
		if m.AcceptFinalUsage(usage) == nil && VMOf(usage.Incarnation) == m.VM {
			formerAdded = m.journal.addFormer(usage) || formerAdded
		}
	}
	m.coverage.extend(asked.Add(-in.Covered))
	return formerAdded
}

func (c *coverage) noteUnreached(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreached == nil {
		c.unreached = make(map[string]bool)
	}
	c.unreached[incarnation] = true
}
