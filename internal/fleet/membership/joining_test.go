package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// TestJoiningAfterSeedsWereDown guards against long timeouts at the start: a router starts while
// its seeds are without power, so that calls hang, and must find them within half a second of
// their return.
func TestJoiningAfterSeedsWereDown(t *testing.T) {
	const down, found = 400 * time.Millisecond, 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		v := &View{
			Seeds: []string{"a", "b", "c"},
			Call: func(ctx context.Context, addr, _ string, _, out any) error {
				if time.Since(began) < down {
					<-ctx.Done()
					return errors.New("no power")
				}
				out.(*inner.HeartbeatAck).Sender = inner.Member{ID: addr, InnerAddr: addr, Epoch: 1}
				return nil
			},
		}
		v.Join(inner.Member{ID: "self", InnerAddr: "self", Epoch: 1})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- v.Run(ctx) }()
		time.Sleep(found)
		synctest.Wait()
		assert.Assert(t, len(v.Members()) > 1, "nobody was found after %v", found)
		stop()
		assert.NilError(t, <-done)
	})
}
