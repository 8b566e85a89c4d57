package prepaid

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
)

// returnedWorld returns a world in which VMs have used 60 in 100 of a total, and the store
// comes back from a copy that has seen none of it.
func returnedWorld(total int64, lives ...string) *world {
	w := startedWorld(total, lives...)
	w.load(total, lives...)
	time.Sleep(time.Second)
	w.store.comeBack(3500 * time.Millisecond)
	return w
}

// load lets VMs use 60 in 100 of a total within 3 s.
func (w *world) load(total int64, lives ...string) {
	for n := range 60 {
		w.request(lives[n%len(lives)], "joiners", total/100, 1, 10*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
}

// deliver lets all VMs use what they can get within a time, and returns how much was used
// of the total then.
func (w *world) deliver(total int64, within time.Duration, lives ...string) int64 {
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		w.request(lives[n%len(lives)], "joiners", total/200, 1, 10*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used["joiners"]
}

// assertWithinReach checks that the VMs can use 97 in 100 of a total within a time, and
// that nothing was overspent.
func assertWithinReach(t *testing.T, w *world, total int64, within time.Duration, lives ...string) {
	t.Helper()
	used := w.deliver(total, within, lives...)
	assert.Assert(t, used >= total*97/100, "used %d of %d", used, total)
	assert.NilError(t, w.result())
}

// TestTokensAreWithinReachAfterAReturn lets all routers live through the return.
func TestTokensAreWithinReachAfterAReturn(t *testing.T) {
	for _, fleet := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		t.Run(fmt.Sprintf("%d routers", len(fleet)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const total = 100_000
				w := returnedWorld(total, fleet...)
				defer w.end()
				assertWithinReach(t, w, total, 5*time.Second, fleet...)
			})
		})
	}
}

// TestReturnTwice lets the store come back once more before its first return is settled.
func TestReturnTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := returnedWorld(total, "a", "b", "c")
		defer w.end()
		time.Sleep(30 * time.Millisecond)
		w.store.comeBack(20 * time.Millisecond)
		assertWithinReach(t, w, total, 5*time.Second, "a", "b", "c")
	})
}

// TestSilentLifeIsWaitedFor cuts a life off that has drawn; the others draw nothing before
// it is back.
func TestSilentLifeIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := startedWorld(total, "a", "b")
		defer w.end()
		w.load(total, "a")
		w.store.set("a", away)
		w.store.comeBack(4 * time.Second)
		time.Sleep(5 * time.Second)
		_, err := w.life("b").purse.Reserve(t.Context(), "joiners", total/2, 0)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
		w.store.set("a", well)
		time.Sleep(5 * time.Second)
		assertWithinReach(t, w, total, 5*time.Second, "a", "b")
	})
}

// TestMirrorVouchesForALifeThatEnded kills a life between the copy and the return. What it
// has used is only known to its mirror.
func TestMirrorVouchesForALifeThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := startedWorld(total, "a", "b", "c")
		defer w.end()
		w.load(total, "a")
		w.kill("a")
		w.store.comeBack(3500 * time.Millisecond)
		time.Sleep(time.Second)
		w.start("a")
		time.Sleep(2 * time.Second)
		used := w.deliver(total, 10*time.Second, "a", "b", "c")
		assert.NilError(t, w.result())
		// A life tells its mirror ahead of the demand, of 20 requests a second here.
		ahead := int64(20 * total / 100 * mirrorAhead.Seconds())
		assert.Assert(t, used >= total*97/100-ahead, "used %d of %d", used, total)
	})
}

// TestNobodyVouchesForTwo kills a life and its mirror; what they have used is not known, so
// that nothing is drawn any more.
func TestNobodyVouchesForTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := startedWorld(total, "a", "b", "c")
		defer w.end()
		w.load(total, "a")
		w.kill("a")
		w.kill("b")
		w.store.comeBack(3500 * time.Millisecond)
		time.Sleep(time.Second)
		w.start("a")
		w.start("b")
		w.deliver(total, 10*time.Second, "a", "b", "c")
		assert.NilError(t, w.result())
		assert.DeepEqual(t, w.life("c").purse.EraState().Settled, false)
	})
}

// TestEraBeginsWhileRowsAreRead lets the store come back between two reads of a router that
// looks for a workspace's rows.
func TestEraBeginsWhileRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := newWorld()
		defer w.end()
		w.topUp("joiners", total)
		var armed atomic.Bool
		w.broken = func(p *Purse) {
			read := p.Read
			p.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
				page, err := read(ctx, r)
				if strings.HasPrefix(r.From, keyTotal) && p.VM == "b" && armed.Swap(false) {
					w.store.comeBack(0)
				}
				return page, err
			}
		}
		w.start("a")
		w.start("b")
		time.Sleep(time.Second)
		armed.Store(true)
		w.request("a", "joiners", total/4, 1, 10*time.Millisecond)
		time.Sleep(time.Second)
		w.request("b", "joiners", total/100, 1, 10*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !armed.Load())
		assert.Assert(t, w.allotted(t, "joiners") >= w.drawn("a", "joiners")+w.drawn("b", "joiners"))
		w.deliver(total, 5*time.Second, "a", "b")
		assert.NilError(t, w.result())
	})
}

// TestVMThatLeftBetweenReturnsIsNotWaitedFor takes a VM away for good between two returns,
// long before the second.
func TestVMThatLeftBetweenReturnsIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := startedWorld(total, "a", "b", "c")
		defer w.end()
		w.store.comeBack(0)
		time.Sleep(5 * time.Second)
		w.leave("c")
		time.Sleep(2 * copyAge)
		w.store.comeBack(0)
		assertWithinReach(t, w, total, 10*time.Second, "a", "b")
	})
}

// TestReturnWhileTheFirstLivesBegin takes everything from the store again after the first
// routers have told that they are the first, and before they have opened their journals.
func TestReturnWhileTheFirstLivesBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := newWorld()
		defer w.end()
		w.topUp("joiners", total)
		w.start("a")
		w.start("b")
		time.Sleep(txTime/3 + txTime + time.Millisecond)
		w.store.mu.Lock()
		told := len(w.store.rows)
		w.store.rows = make(map[table.Place]table.Row)
		w.store.version = 0
		w.store.era++
		w.store.mu.Unlock()
		assert.Equal(t, told, 2)
		time.Sleep(time.Second)
		assertWithinReach(t, w, total, 10*time.Second, "a", "b")
	})
}

// TestReturnBeforeTheJournalIsRead lets the store come back while the next life of a VM
// that has used most of a total begins. That life has not read what the last one has left.
func TestReturnBeforeTheJournalIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		w := startedWorld(total, "a", "b")
		defer w.end()
		w.load(total, "b")
		w.kill("b")
		w.start("b")
		time.Sleep(txTime/3 + time.Millisecond)
		w.store.comeBack(3500 * time.Millisecond)
		w.deliver(total, 10*time.Second, "a", "b")
		assert.NilError(t, w.result())
	})
}
