package peer

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxReplyGap is the longest time without data within a large reply. Its first byte must arrive within callTimeout.
	maxReplyGap = 2 * time.Second
	// minFetchRate is the mean rate, in bytes per second, below which a large reply is given up.
	minFetchRate = 8 << 10
	// progressInterval is the time between two checks of the progress.
	progressInterval = 100 * time.Millisecond
)

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

// progressing reports whether data has arrived lately, and not too slowly on the whole. before is the number of bytes read
// when the wait began.
func (c *timeoutConn) progressing(now, began time.Time, before int64) bool {
	n := c.totalRead.Load() - before
	if n == 0 {
		return now.Sub(began) < callTimeout
	}
	allowed := maxReplyGap + time.Duration(n)*time.Second/minFetchRate
	return !c.idleSince(now.Add(-maxReplyGap)) && now.Sub(began) < allowed
}
