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

// Change is what has become of one announcement.
type Change struct {
	// ID names the instance.
	ID string
	// Instance is the announcement, unless Gone is set.
	Instance Instance
	// Gone tells that there is no announcement, or none that describes an instance.
	Gone bool
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
}

// Update takes in changes and hands on the new roster.
func (k *Keeper) Update(changes []Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries == nil {
		k.entries = make(map[string]Instance)
		k.lapsing = make(map[string]time.Time)
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
	default:
		k.entries[c.ID] = c.Instance
		delete(k.lapsing, c.ID)
	}
}

func (k *Keeper) drop(id string) {
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
