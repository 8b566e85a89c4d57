package roster

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// lapseGrace is how long after an outage of the store an instance is kept whose
// announcement has vanished; a live one announces itself again within about that time.
const lapseGrace = 2 * time.Second

// departureAge is how long a lifetime that has left is remembered, which is longer than a
// copy of the store may be old.
const departureAge = time.Minute

// Change is what has become of one announcement.
type Change struct {
	// ID names the instance.
	ID string
	// Instance is the announcement, unless Gone is set.
	Instance Instance
	// Gone tells that there is no announcement, or none that describes an instance.
	Gone bool
	// FromCopy tells that the announcement is that of an older copy of the store. It may be
	// out of date: a lifetime that was seen to leave since has left.
	FromCopy bool
}

// Keeper makes a roster of announcements as they change.
type Keeper struct {
	// Regained returns when the store was last reached after it had been lost, the
	// present if it is lost now, and false if it never was.
	Regained func() (time.Time, bool)
	// OnRoster is told of each new roster, in order. It must not block.
	OnRoster func(r *Roster)

	mu      sync.Mutex // guards the fields below; held while a roster is handed on
	entries map[string]Instance
	lapsing map[string]time.Time // when instances without an announcement are dropped
	left    map[string]departure // lifetimes that were dropped not long ago, by ID
}

// departure is a lifetime whose announcement has gone.
type departure struct {
	born time.Time
	at   time.Time
}

// Update takes in changes and hands on the new roster.
func (k *Keeper) Update(changes []Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries == nil {
		k.entries = make(map[string]Instance)
		k.lapsing = make(map[string]time.Time)
		k.left = make(map[string]departure)
	}
	for _, c := range changes {
		k.apply(c)
	}
	k.publish()
}

// apply takes in one change. The caller holds mu.
func (k *Keeper) apply(c Change) {
	known, ok := k.entries[c.ID]
	switch {
	case c.Gone && !ok:
	case c.Gone && !known.Draining && k.grace() > 0:
		grace := k.grace()
		k.lapsing[c.ID] = time.Now().Add(grace)
		time.AfterFunc(grace, k.expire)
	case c.Gone:
		k.drop(c.ID)
	case ok && c.Instance.Born.Before(known.Born):
		// A lifetime that has ended is announced late.
	case c.FromCopy && k.hasLeft(c.Instance):
	default:
		k.entries[c.ID] = c.Instance
		delete(k.lapsing, c.ID)
		delete(k.left, c.ID)
	}
}

// hasLeft reports whether a lifetime was seen to leave. The caller holds mu.
func (k *Keeper) hasLeft(i Instance) bool {
	if known, ok := k.entries[i.ID]; ok {
		return known.Draining && known.SameLife(i)
	}
	gone, ok := k.left[i.ID]
	return ok && !i.Born.After(gone.born)
}

// drop forgets an instance, but for the lifetime that has left. The caller holds mu.
func (k *Keeper) drop(id string) {
	now := time.Now()
	for other, gone := range k.left {
		if now.Sub(gone.at) > departureAge {
			delete(k.left, other)
		}
	}
	if known, ok := k.entries[id]; ok {
		k.left[id] = departure{born: known.Born, at: now}
	}
	delete(k.entries, id)
	delete(k.lapsing, id)
}

// grace returns how long an instance that has vanished now is kept.
func (k *Keeper) grace() time.Duration {
	regained, ok := k.Regained()
	if !ok {
		return 0
	}
	return lapseGrace - time.Since(regained)
}

// expire drops the instances whose grace is over.
func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	expired := false
	for id, until := range k.lapsing {
		if !now.Before(until) {
			k.drop(id)
			expired = true
		}
	}
	if expired {
		k.publish()
	}
}

func (k *Keeper) publish() {
	k.OnRoster(New(slices.Collect(maps.Values(k.entries))))
}
