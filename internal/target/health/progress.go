package health

import "time"

// Progress notices a target that has requests and sends nothing.
type Progress struct {
	// Patience is the time without an event after which a busy target is silent.
	Patience time.Duration

	last time.Time
}

// Event takes in anything that the target has sent.
func (p *Progress) Event(now time.Time) { p.last = now }

// Busy takes in that the target got its first outstanding request.
func (p *Progress) Busy(now time.Time) { p.last = now }

// Silent reports whether a target with that many outstanding requests has sent nothing for too long.
func (p *Progress) Silent(now time.Time, outstanding int) bool {
	return outstanding > 0 && p.Patience > 0 && now.Sub(p.last) > p.Patience
}
