package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCold reports that an instance is cold and may get no request of this router now.
var ErrCold = errors.New("instance is cold and may get no request of this router now")

// ColdError reports that instances are cold which could get the request, and that no other is left.
type ColdError struct {
	// Until is when one of them may get a request of this router at the latest, as far as is known.
	Until time.Time
	// Instances is the number of the cold ones.
	Instances int
}

// Error returns a message with the remaining time.
func (e *ColdError) Error() string {
	return fmt.Sprintf("%d instances that could get the request are cold and take none of this router for %v", e.Instances, time.Until(e.Until).Round(time.Millisecond))
}

// Unwrap returns ErrNoInstance.
func (e *ColdError) Unwrap() error { return ErrNoInstance }

// coldError returns a *ColdError if the request is kept from one of the instances only because that is
// cold, and nil otherwise.
func coldError(list []*instance, r Requirements, now time.Time) error {
	out := &ColdError{}
	for _, i := range list {
		if slices.Contains(r.Exclude, i.ID) || !i.acceptsRequests(now) {
			continue
		}
		free := i.warmup.FreeAt(i.Service, i.ID, now)
		if !free.After(now) {
			continue
		}
		out.Instances++
		if out.Until.IsZero() || free.Before(out.Until) {
			out.Until = free
		}
	}
	if out.Instances == 0 {
		return nil
	}
	return out
}

// takeColdShare reports whether a request may be sent to the instance now, which counts if it is cold.
func (i *instance) takeColdShare(now time.Time) bool { return i.warmup.Take(i.Service, i.ID, now) }

// ConnectionLost records that the connection of the attempt broke without an answer or within it. The
// instance may have restarted, and is presumed cold.
func (s *Slot) ConnectionLost() {
	s.instance.warmup.Presume(s.instance.Service, s.instance.ID, time.Now())
}

// PresumeCold presumes that the instances of a failure domain have restarted, as after a time in which
// nothing was sent there.
func (p *Placement) PresumeCold(failureDomain string) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	for _, s := range p.services {
		for _, i := range s.instances {
			if i.FailureDomain == failureDomain {
				p.Warmup.Presume(i.Service, i.ID, now)
			}
		}
	}
}
