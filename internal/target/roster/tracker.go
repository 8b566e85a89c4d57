package roster

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// outageGrace is the time after an outage of the store for which instances are kept even if
// their announcements disappear. A live instance renews its announcement within about that
// time.
const outageGrace = 2 * time.Second

// departureRetention is the time for which ended incarnations are remembered. It exceeds the
// maximum age of the snapshot that the store is rolled back to.
const departureRetention = time.Minute

// maxClockSkew is how far the clock of a target may be ahead of this VM's.
const maxClockSkew = time.Hour

// AnnouncementChange is the new state of one announcement.
type AnnouncementChange struct {
	// ID identifies the instance.
	ID string
	// Instance is the announced instance; it is not used if Deleted is set.
	Instance Instance
	// Deleted is set if the announcement was deleted or is not valid.
	Deleted bool
	// AfterRollback is set if the store was rolled back to a snapshot that contained the
	// announcement. It may be out of date, so it does not bring back an incarnation that has
	// since been seen to drain or to disappear.
	AfterRollback bool
}

// Tracker builds rosters from changes of announcements.
type Tracker struct {
	// LastOutageEnd returns the time at which the last outage of the store ended, or the current
	// time during an outage. The bool is false if there was no outage yet.
	LastOutageEnd func() (time.Time, bool)
	// OnRoster is called with each new roster, in order. It must not block.
	OnRoster func(r *Roster)

	mu         sync.Mutex           // guards the fields below; held during calls of OnRoster
	entries    map[string]Instance  // by ID, including draining instances
	dropAt     map[string]time.Time // by ID, when instances kept without an announcement are dropped
	departures map[string]departure // by ID, recently dropped incarnations
}

// departure describes an incarnation whose announcement has disappeared.
type departure struct {
	startedAt time.Time // start of the incarnation
	droppedAt time.Time
}

// Update applies the changes and publishes the new roster.
func (t *Tracker) Update(changes []AnnouncementChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]Instance)
		t.dropAt = make(map[string]time.Time)
		t.departures = make(map[string]departure)
	}
	for _, c := range changes {
		t.apply(c)
	}
	t.publish()
}

// apply applies one change. The caller holds mu.
func (t *Tracker) apply(c AnnouncementChange) {
	known, ok := t.entries[c.ID]
	switch {
	case c.Deleted && !ok:
	case c.Deleted && !known.Draining && t.remainingGrace() > 0:
		grace := t.remainingGrace()
		t.dropAt[c.ID] = time.Now().Add(grace)
		time.AfterFunc(grace, t.expire)
	case c.Deleted:
		t.drop(c.ID)
	case ok && supersedes(known, c.Instance):
		// The announcement of an earlier incarnation has arrived late.
	case c.AfterRollback && t.hasDeparted(c.Instance):
	default:
		t.entries[c.ID] = c.Instance
		delete(t.dropAt, c.ID)
		delete(t.departures, c.ID)
	}
}

// supersedes reports whether the known instance started after i.
func supersedes(known, i Instance) bool {
	return i.StartedAt.Before(known.StartedAt) && hasCome(known.StartedAt)
}

// hasCome reports whether an instance can have started at a time. Another writer may have
// announced a start that is still to come; it proves nothing about other starts.
func hasCome(start time.Time) bool { return time.Until(start) < maxClockSkew }

// hasDeparted reports whether the incarnation was seen to drain, or whether it or a later one
// was dropped recently. The caller holds mu.
func (t *Tracker) hasDeparted(i Instance) bool {
	if known, ok := t.entries[i.ID]; ok {
		return known.Draining && known.SameIncarnation(i)
	}
	departed, ok := t.departures[i.ID]
	return ok && !i.StartedAt.After(departed.startedAt) && hasCome(departed.startedAt)
}

// drop removes an instance and remembers its incarnation as departed. The caller holds mu.
func (t *Tracker) drop(id string) {
	now := time.Now()
	for departedID, departed := range t.departures {
		if now.Sub(departed.droppedAt) > departureRetention {
			delete(t.departures, departedID)
		}
	}
	if known, ok := t.entries[id]; ok {
		t.departures[id] = departure{startedAt: known.StartedAt, droppedAt: now}
	}
	delete(t.entries, id)
	delete(t.dropAt, id)
}

// remainingGrace returns the time for which an instance is kept whose announcement disappears
// now. It is not positive if the instance should be dropped at once.
func (t *Tracker) remainingGrace() time.Duration {
	outageEnd, ok := t.LastOutageEnd()
	if !ok {
		return 0
	}
	return outageGrace - time.Since(outageEnd)
}

// expire drops the instances whose grace period has ended.
func (t *Tracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	expired := false
	for id, until := range t.dropAt {
		if !now.Before(until) {
			t.drop(id)
			expired = true
		}
	}
	if expired {
		t.publish()
	}
}

// publish passes the current roster to OnRoster. The caller holds mu.
func (t *Tracker) publish() {
	t.OnRoster(New(slices.Collect(maps.Values(t.entries))))
}
