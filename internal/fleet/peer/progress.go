package peer

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/socket"
)

// progressInterval is the time between two checks of the progress of a large reply.
const progressInterval = 100 * time.Millisecond

// errNoProgress reports that a large reply did not arrive, or stopped to arrive, or arrived too slowly.
var errNoProgress = errors.New("reply makes no progress")

// watchReply calls giveUp once the reply to the call that is about to be made makes no progress, or does not begin within
// the limit, unless the function that it returns is called before. That returns how long the reply took to begin.
func (c *timeoutConn) watchReply(limit time.Duration, giveUp func()) (stop func() time.Duration) {
	began, before := time.Now(), c.totalRead.Load()
	done := make(chan struct{})
	latency := make(chan time.Duration, 1)
	go func() {
		latency <- c.awaitReply(began, before, limit, done, giveUp)
	}()
	return func() time.Duration {
		close(done)
		return <-latency
	}
}

// awaitReply watches a reply until done is closed or giveUp was called. It returns how long the reply took to begin.
func (c *timeoutConn) awaitReply(began time.Time, before int64, limit time.Duration, done <-chan struct{}, giveUp func()) time.Duration {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	var latency time.Duration
	for {
		select {
		case <-done:
			return cmp.Or(latency, time.Since(began))
		case now := <-tick.C:
			n := c.totalRead.Load() - before
			if n > 0 {
				latency = cmp.Or(latency, now.Sub(began))
			}
			if !c.progressing(now, began, n, limit) {
				giveUp()
				return cmp.Or(latency, now.Sub(began))
			}
		}
	}
}

// progressing reports whether data has arrived lately, and not too slowly on the whole, or the reply may still begin within
// the limit. n is the number of bytes read since the wait began.
func (c *timeoutConn) progressing(now, began time.Time, n int64, limit time.Duration) bool {
	if n == 0 {
		return now.Sub(began) < limit
	}
	allowed := socket.MaxGap + limit + time.Duration(n)*time.Second/socket.MinRate
	return !c.idleSince(now.Add(-socket.MaxGap)) && now.Sub(began) < allowed
}
