package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/socket"
)

// progressInterval is the time between two checks of the progress of a large reply.
const progressInterval = 100 * time.Millisecond

// errNoProgress reports that a large reply did not arrive, or stopped to arrive, or arrived too slowly.
var errNoProgress = errors.New("reply makes no progress")

// watchReply calls giveUp once the reply to the call that is about to be made makes no progress, unless the function that
// it returns is called before.
func (c *timeoutConn) watchReply(giveUp func()) (stop func()) {
	began, before := time.Now(), c.totalRead.Load()
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-tick.C:
				if !c.progressing(now, began, before) {
					giveUp()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// progressing reports whether data has arrived lately, and not too slowly on the whole, or the reply may still begin within
// callTimeout. before is the number of bytes read when the wait began.
func (c *timeoutConn) progressing(now, began time.Time, before int64) bool {
	n := c.totalRead.Load() - before
	if n == 0 {
		return now.Sub(began) < callTimeout
	}
	allowed := socket.MaxGap + time.Duration(n)*time.Second/socket.MinRate
	return !c.idleSince(now.Add(-socket.MaxGap)) && now.Sub(began) < allowed
}
