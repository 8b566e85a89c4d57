package quota

import "time"

// burstDuration sets the capacity of a bucket: the units that its rate allows in this time.
const burstDuration = 10 * time.Second

// bucket is a token bucket, guarded by the mutex of its shard.
type bucket struct {
	rate       float64   // refill in units per second; 0 means no limit
	capacity   float64   // in units, at least 1
	available  float64   // units that can be taken now; negative after a request of more than capacity
	refilledAt time.Time // time of the last call of refill
}

// refill adds the units for the time since the last call, at this router's share of the
// current limit. A bucket that had no limit before starts full.
func (b *bucket) refill(perMinute int64, routers int, now time.Time) {
	wasLimited := b.rate > 0
	b.rate = float64(perMinute) / time.Minute.Seconds() / float64(routers)
	b.capacity = max(b.rate*burstDuration.Seconds(), 1)
	if !wasLimited {
		b.available = b.capacity
	}
	b.available = min(b.available+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
}

// wait returns the time until n units can be taken. A full bucket allows requests of more
// than its capacity, which would otherwise never be admitted.
func (b *bucket) wait(n int64) time.Duration {
	required := min(float64(n), b.capacity)
	if b.rate == 0 || b.available >= required {
		return 0
	}
	seconds := (required - b.available) / b.rate
	return time.Duration(seconds*float64(time.Second)) + time.Nanosecond
}

// take removes n units; available may become negative.
func (b *bucket) take(n int64) { b.available -= float64(n) }
