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

// departureRetention is the time for which ended lifetimes are remembered. It exceeds the
// maximum age of a copy from which the store is restored.
const departureRetention = time.Minute

// AnnouncementChange is the new state of one announcement.
type AnnouncementChange struct {
	// ID identifies the instance.
	ID string
	// Instance is the announced instance; it is not used if Gone is set.
	Instance Instance
	// Deleted is set if the announcement was deleted or is not valid.
	Deleted bool
	// AfterRollback is set if the store was restored from an older copy that contained the
	// announcement. It may be out of date, so it does not bring back a lifetime that has
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
	departures map[string]departure // by ID, recently dropped lifetimes
}

// departure describes a lifetime whose announcement has disappeared.
type departure struct {
	born      time.Time // start of the lifetime
	droppedAt time.Time
}

// Update applies the changes and publishes the new roster.
func (k *Tracker) Update(changes []AnnouncementChange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries == nil {
		k.entries = make(map[string]Instance)
		k.dropAt = make(map[string]time.Time)
		k.departures = make(map[string]departure)
	}
	for _, c := range changes {
		k.apply(c)
	}
	k.publish()
}

// apply applies one change. The caller holds mu.
func (k *Tracker) apply(c AnnouncementChange) {
	known, ok := k.entries[c.ID]
	switch {
	case c.Deleted && !ok:
	case c.Deleted && !known.Draining && k.remainingGrace() > 0:
		grace := k.remainingGrace()
		k.dropAt[c.ID] = time.Now().Add(grace)
		time.AfterFunc(grace, k.expire)
	case c.Deleted:
		k.drop(c.ID)
	case ok && c.Instance.StartedAt.Before(known.StartedAt):
		// The announcement of an earlier lifetime has arrived late.
	case c.AfterRollback && k.hasDeparted(c.Instance):
	default:
		k.entries[c.ID] = c.Instance
		delete(k.dropAt, c.ID)
		delete(k.departures, c.ID)
	}
}

// hasDeparted reports whether the lifetime was seen to drain, or whether it or a later one
// was dropped recently. The caller holds mu.
func (k *Tracker) hasDeparted(i Instance) bool {
	if known, ok := k.entries[i.ID]; ok {
		return known.Draining && known.SameIncarnation(i)
	}
	departed, ok := k.departures[i.ID]
	return ok && !i.StartedAt.After(departed.born)
}

// drop removes an instance and remembers its lifetime as departed. The caller holds mu.
func (k *Tracker) drop(id string) {
	now := time.Now()
	for departedID, departed := range k.departures {
		if now.Sub(departed.droppedAt) > departureRetention {
			delete(k.departures, departedID)
		}
	}
	if known, ok := k.entries[id]; ok {
		k.departures[id] = departure{born: known.StartedAt, droppedAt: now}
	}
	delete(k.entries, id)
	delete(k.dropAt, id)
}

// remainingGrace returns the time for which an instance is kept whose announcement disappears
// now. It is not positive if the instance should be dropped at once.
func (k *Tracker) remainingGrace() time.Duration {
	regained, ok := k.LastOutageEnd()
	if !ok {
		return 0
	}
	return outageGrace - time.Since(regained)
}

// expire drops the instances whose grace period has ended.
func (k *Tracker) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	expired := false
	for id, until := range k.dropAt {
		if !now.Before(until) {
			k.drop(id)
			expired = true
		}
	}
	if expired {
		k.publish()
	}
}

// publish passes the current roster to OnRoster. The caller holds mu.
func (k *Tracker) publish() {
	k.OnRoster(New(slices.Collect(maps.Values(k.entries))))
}
