package placement

import (
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/target/upstream"
)

// noticeRetention is how long the notice of an instance stays in force after the instance
// disappears from the roster. The instance may be listed again, for example after an
// outage of the store.
const noticeRetention = 10 * time.Minute

// Notice describes an instance that announced in an answer that it accepts no requests
// from now on.
type Notice struct {
	// Instance and Addr are the ID and the address of the instance.
	Instance, Addr string
	// Leaving is set if the instance accepts none for the rest of its incarnation.
	Leaving bool
	// Until is when the pause ends; zero if no pause began.
	Until time.Time
	// Running is the number of this router's requests running there.
	Running int
}

// PausedError reports that every instance left for the request has paused its intake.
type PausedError struct {
	// Until is when the first of them accepts requests again.
	Until time.Time
}

// Error returns a message with the remaining time of the pause.
func (e *PausedError) Error() string {
	return fmt.Sprintf("all instances that could get the request take none for %v", time.Until(e.Until).Round(time.Millisecond))
}

// Unwrap returns ErrNoInstance.
func (e *PausedError) Unwrap() error { return ErrNoInstance }

// handleNotice applies a notice from an answer of the instance. A shorter pause does not
// replace a longer one, since answers may arrive out of order.
func (i *instance) handleNotice(n upstream.Notice) {
	now := time.Now()
	if n.TellsCold {
		i.warmup.Answered(i.Service, i.ID, n.ColdFor, now)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	notice := Notice{Instance: i.ID, Addr: i.Addr, Running: i.running}
	if n.Leaving && !i.leaving {
		i.leaving = true
		notice.Leaving = true
	}
	if until := now.Add(n.PauseFor); n.PauseFor > 0 && until.After(i.pausedUntil) {
		if !i.pausedUntil.After(now) {
			notice.Until = until
		}
		i.pausedUntil = until
	}
	if i.onNotice != nil && (notice.Leaving || !notice.Until.IsZero()) {
		i.onNotice(notice)
	}
}

// acceptsRequests reports whether the instance is neither leaving nor paused.
func (i *instance) acceptsRequests(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.leaving && !i.pausedUntil.After(now)
}

// hasLeft reports whether the instance is leaving or no longer in the roster.
func (i *instance) hasLeft() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving || !i.unlistedSince.IsZero()
}

// pauseEnd returns when the pause of the instance ends; zero if it is leaving or not paused.
func (i *instance) pauseEnd(now time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving || !i.pausedUntil.After(now) {
		return time.Time{}
	}
	return i.pausedUntil
}

// noInstanceError returns a *ColdError if a cold instance would be left for the request, a *PausedError if only paused
// ones would, an error that wraps ErrEvacuated if one in an evacuated failure domain would be, ErrNotAllowed if others
// would be but for their failure domains, and ErrNoInstance otherwise.
func (p *Placement) noInstanceError(s *service, r Requirements, now time.Time) error {
	if err := coldError(p.usable(s.instances, r), r, now); err != nil {
		return err
	}
	var first time.Time
	evacuated, barred := false, false
	for _, i := range s.instances {
		if slices.Contains(r.Exclude, i.ID) {
			continue
		}
		if !r.allows(i) {
			barred = true
			continue
		}
		if p.evacuated(i) {
			evacuated = true
			continue
		}
		until := i.pauseEnd(now)
		if until.IsZero() {
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	switch {
	case first.IsZero() && evacuated:
		return evacuatedError{}
	case first.IsZero() && barred && len(r.Exclude) == 0:
		return fmt.Errorf("%w: %w", ErrNoInstance, ErrNotAllowed)
	case first.IsZero():
		return ErrNoInstance
	}
	return &PausedError{Until: first}
}

// markUnlisted handles the disappearance of the instance from the roster by closing its
// idle connections. It reports whether the instance must be kept because its notice is
// still in force.
func (i *instance) markUnlisted(now time.Time) bool {
	i.pool.CloseIdle()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.unlistedSince.IsZero() {
		i.unlistedSince = now
	}
	return now.Sub(i.unlistedSince) < noticeRetention && (i.leaving || i.pausedUntil.After(now))
}

// markListed records that the instance is in the roster.
func (i *instance) markListed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unlistedSince = time.Time{}
}
