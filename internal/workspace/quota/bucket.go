package quota

import "time"

// burst is the time whose allowance a bucket can hold.
const burst = 10 * time.Second

// bucket is a token bucket; its shard's lock guards it.
type bucket struct {
	rate  float64 // units per second; 0 sets no limit
	size  float64
	level float64 // below 0 after a request of more than the size
	at    time.Time
}

// refill adds what the time since the last call has brought, at the share of the limit now in force.
func (b *bucket) refill(perMinute int64, routers int, now time.Time) {
	wasLimited := b.rate > 0
	b.rate = float64(perMinute) / time.Minute.Seconds() / float64(routers)
	b.size = max(b.rate*burst.Seconds(), 1)
	if !wasLimited {
		b.level = b.size
	}
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.size)
	b.at = now
}

// wait returns the time until n units can be taken. More than the bucket's size
// can be taken from a full one, so that no request is refused for ever.
func (b *bucket) wait(n int64) time.Duration {
	need := min(float64(n), b.size)
	if b.rate == 0 || b.level >= need {
		return 0
	}
	seconds := (need - b.level) / b.rate
	return time.Duration(seconds*float64(time.Second)) + time.Nanosecond
}

// take takes n units, also if that leaves less than none.
func (b *bucket) take(n int64) { b.level -= float64(n) }
