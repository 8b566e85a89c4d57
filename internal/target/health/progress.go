package health

import "time"

// Progress detects a target that has outstanding requests but sends nothing.
type Progress struct {
	// SilenceTimeout is the time without an event after which a target with outstanding requests
	// counts as stalled; 0 disables the detection.
	SilenceTimeout time.Duration

	lastEvent time.Time // or the time at which the target became busy
}

// Event records that the target has sent something.
func (p *Progress) Event(now time.Time) { p.lastEvent = now }

// Busy records that a target without outstanding requests was sent one.
func (p *Progress) Busy(now time.Time) { p.lastEvent = now }

// Silent reports whether a target with the given number of outstanding requests has sent
// nothing for longer than SilenceTimeout.
func (p *Progress) Silent(now time.Time, outstanding int) bool {
	return outstanding > 0 && p.SilenceTimeout > 0 && now.Sub(p.lastEvent) > p.SilenceTimeout
}
