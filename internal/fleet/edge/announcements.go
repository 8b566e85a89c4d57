package edge

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxKnownLag is how long a router serves by its configuration after another router has reported a newer one.
	maxKnownLag = 2 * time.Second
	// reportTime is how long a report of a newer configuration counts. A version that no router reports any longer may be lost.
	reportTime = 2 * time.Second
	// maxPending bounds the announcements that are kept.
	maxPending = 64
)

// announcement is a configuration version that other routers have reported.
type announcement struct {
	version     uint64
	first, last time.Time // reports of this version or a higher one
}

// announcements are the configurations that other routers have reported and that are not in force here.
type announcements struct {
	mu      sync.Mutex // guards the fields below
	highest uint64     // of all reported versions
	pending []announcement
}

// report records that another router has a version that is newer than the one in force, and returns whether it is higher
// than all before.
func (a *announcements) report(version uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.pending {
		if a.pending[i].version <= version {
			a.pending[i].last = now
		}
	}
	if version <= a.highest {
		return false
	}
	a.highest = version
	if len(a.pending) == maxPending {
		a.pending = a.pending[:maxPending-1]
	}
	a.pending = append(a.pending, announcement{version: version, first: now, last: now})
	return true
}

// reach records that a version is in force, and returns how long ago it was first reported, or 0 if it was not.
func (a *announcements) reach(version uint64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out time.Duration
	a.pending = slices.DeleteFunc(a.pending, func(p announcement) bool {
		if p.version == version {
			out = now.Sub(p.first)
		}
		return p.version <= version
	})
	return out
}

// forget drops what has been reported so far, since a configuration has arrived that can't be used.
func (a *announcements) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = nil
}

// highestVersion returns the highest version that was reported, or 0.
func (a *announcements) highestVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.highest
}

// overdue reports whether other routers have had, for too long, a configuration that is newer than the one in force.
func (a *announcements) overdue(inForce uint64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.pending, func(p announcement) bool {
		return p.version > inForce && now.Sub(p.first) > maxKnownLag && now.Sub(p.last) < reportTime
	})
}
