package placement

import (
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/target/upstream"
)

// unlistedTime is how long after it has vanished from the roster an instance may come
// back with its notice still in force, as after an outage of the store.
const unlistedTime = 10 * time.Minute

// Notice tells that an instance was found, by one of its answers, to take no requests
// from now on.
type Notice struct {
	// Instance and Addr name it.
	Instance, Addr string
	// Leaving is set if it takes none for the rest of its lifetime.
	Leaving bool
	// Until is when a pause ends; zero if there is none.
	Until time.Time
	// Running is the number of this router's requests there.
	Running int
}

// PausedError reports that all instances that could get the request want none for a time.
type PausedError struct {
	// Until is when the first of them takes requests again.
	Until time.Time
}

// Error tells how long the pause lasts.
func (e *PausedError) Error() string {
	return fmt.Sprintf("all instances that could get the request take none for %v", time.Until(e.Until).Round(time.Millisecond))
}

// Unwrap returns ErrNoInstance.
func (e *PausedError) Unwrap() error { return ErrNoInstance }

// heed takes in a notice of the instance. A shorter pause does not end a longer one,
// since answers may overtake each other.
func (i *instance) heed(n upstream.Notice) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	news := Notice{Instance: i.ID, Addr: i.Addr, Running: i.running}
	if n.Leaving && !i.leaving {
		i.leaving = true
		news.Leaving = true
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(i.paused) {
		if !i.paused.After(now) {
			news.Until = until
		}
		i.paused = until
	}
	if i.onNotice != nil && (news.Leaving || !news.Until.IsZero()) {
		i.onNotice(news)
	}
}

// welcomes reports whether the instance may be sent anything.
func (i *instance) welcomes(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.leaving && !i.paused.After(now)
}

// pausedUntil returns when a pause of an instance that stays ends; zero if there is none.
func (i *instance) pausedUntil(now time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving || !i.paused.After(now) {
		return time.Time{}
	}
	return i.paused
}

// noInstance tells why no instance can get the request.
func (s *service) noInstance(d Demand, now time.Time) error {
	var first time.Time
	for _, i := range s.instances {
		until := i.pausedUntil(now)
		if until.IsZero() || slices.Contains(d.Exclude, i.ID) {
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return ErrNoInstance
	}
	return &PausedError{Until: first}
}

// vanish ends the use of an instance that is gone from the roster, and reports whether
// it must be remembered for the notice that it has given.
func (i *instance) vanish(now time.Time) bool {
	i.pool.Distrust()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.vanished.IsZero() {
		i.vanished = now
	}
	return now.Sub(i.vanished) < unlistedTime && (i.leaving || i.paused.After(now))
}

// list notes that the instance stands in the roster.
func (i *instance) list() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.vanished = time.Time{}
}
