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

// startRolledBack returns a fleet whose VMs have used 60 % of a total when the store is rolled
// back to a copy from before that.
func startRolledBack(total int64, vmNames ...string) *testFleet {
	f := startFleet(total, vmNames...)
	f.useMost(total, vmNames...)
	time.Sleep(time.Second)
	f.store.rollBack(3500 * time.Millisecond)
	return f
}

// useMost lets the VMs use 60 % of a total within 3 s.
func (f *testFleet) useMost(total int64, vmNames ...string) {
	for n := range 60 {
		f.request(vmNames[n%len(vmNames)], "joiners", total/100, 1, 10*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
}

// useRest lets the VMs use what they can get within a time, and returns the tokens of the
// total used by then.
func (f *testFleet) useRest(total int64, within time.Duration, vmNames ...string) int64 {
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		f.request(vmNames[n%len(vmNames)], "joiners", total/200, 1, 10*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used["joiners"]
}

// assertRestUsable checks that the VMs can use 97 % of a total within a time, and that nothing
// was overspent.
func assertRestUsable(t *testing.T, f *testFleet, total int64, within time.Duration, vmNames ...string) {
	t.Helper()
	used := f.useRest(total, within, vmNames...)
	assert.Assert(t, used >= total*97/100, "used %d of %d", used, total)
	assert.NilError(t, f.result())
}

// TestTokensAreWithinReachAfterAReturn checks that the tokens are usable after a rollback of
// the store during which all routers run.
func TestTokensAreWithinReachAfterAReturn(t *testing.T) {
	for _, vmNames := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		t.Run(fmt.Sprintf("%d routers", len(vmNames)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const total = 100_000
				f := startRolledBack(total, vmNames...)
				defer f.end()
				assertRestUsable(t, f, total, 5*time.Second, vmNames...)
			})
		})
	}
}

// TestReturnTwice rolls the store back again before the first rollback is settled.
func TestReturnTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startRolledBack(total, "a", "b", "c")
		defer f.end()
		time.Sleep(30 * time.Millisecond)
		f.store.rollBack(20 * time.Millisecond)
		assertRestUsable(t, f, total, 5*time.Second, "a", "b", "c")
	})
}

// TestSilentLifeIsWaitedFor guards against overspending after a rollback while an incarnation
// that has drawn tokens is cut off: the others must draw nothing before it
// can reach the store again.
func TestSilentLifeIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startFleet(total, "a", "b")
		defer f.end()
		f.useMost(total, "a")
		f.store.setFault("a", unreachable)
		f.store.rollBack(4 * time.Second)
		time.Sleep(5 * time.Second)
		_, err := f.incarnationOf("b").manager.Reserve(t.Context(), "joiners", total/2, 0)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
		f.store.setFault("a", noFault)
		time.Sleep(5 * time.Second)
		assertRestUsable(t, f, total, 5*time.Second, "a", "b")
	})
}

// TestMirrorVouchesForALifeThatEnded kills an incarnation after the copy was made and before the
// store is rolled back to it. Only its mirror knows then what it has used.
func TestMirrorVouchesForALifeThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startFleet(total, "a", "b", "c")
		defer f.end()
		f.useMost(total, "a")
		f.kill("a")
		f.store.rollBack(3500 * time.Millisecond)
		time.Sleep(time.Second)
		f.start("a")
		time.Sleep(2 * time.Second)
		used := f.useRest(total, 10*time.Second, "a", "b", "c")
		assert.NilError(t, f.result())
		// The bounds of a note include the expected demand, of 20 requests per second here.
		ahead := int64(20 * total / 100 * mirrorLookahead.Seconds())
		assert.Assert(t, used >= total*97/100-ahead, "used %d of %d", used, total)
	})
}

// TestNobodyVouchesForTwo kills an incarnation and its mirror before a rollback. What they have
// used is unknown, so that no tokens may be drawn any more.
func TestNobodyVouchesForTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startFleet(total, "a", "b", "c")
		defer f.end()
		f.useMost(total, "a")
		f.kill("a")
		f.kill("b")
		f.store.rollBack(3500 * time.Millisecond)
		time.Sleep(time.Second)
		f.start("a")
		f.start("b")
		f.useRest(total, 10*time.Second, "a", "b", "c")
		assert.NilError(t, f.result())
		assert.DeepEqual(t, f.incarnationOf("c").manager.EraState().Settled, false)
	})
}

// TestEraBeginsWhileRowsAreRead rolls the store back between two reads of a router that reads
// a workspace's rows.
func TestEraBeginsWhileRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := newTestFleet()
		defer f.end()
		f.topUp("joiners", total)
		var rollBackArmed atomic.Bool
		f.mutate = func(m *Manager) {
			read := m.Read
			m.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
				page, err := read(ctx, r)
				if strings.HasPrefix(r.From, keyTotal) && m.VM == "b" && rollBackArmed.Swap(false) {
					f.store.rollBack(0)
				}
				return page, err
			}
		}
		f.start("a")
		f.start("b")
		time.Sleep(time.Second)
		rollBackArmed.Store(true)
		f.request("a", "joiners", total/4, 1, 10*time.Millisecond)
		time.Sleep(time.Second)
		f.request("b", "joiners", total/100, 1, 10*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !rollBackArmed.Load())
		assert.Assert(t, f.allotted(t, "joiners") >= f.drawn("a", "joiners")+f.drawn("b", "joiners"))
		f.useRest(total, 5*time.Second, "a", "b")
		assert.NilError(t, f.result())
	})
}

// TestVMThatLeftBetweenReturnsIsNotWaitedFor removes a VM for good between two rollbacks, long
// before the second.
func TestVMThatLeftBetweenReturnsIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startFleet(total, "a", "b", "c")
		defer f.end()
		f.store.rollBack(0)
		time.Sleep(5 * time.Second)
		f.leave("c")
		time.Sleep(2 * maxCopyAge)
		f.store.rollBack(0)
		assertRestUsable(t, f, total, 10*time.Second, "a", "b")
	})
}

// TestReturnWhileTheFirstLivesBegin empties the store, in a new era, after the first routers
// have recorded that they are the first, and before they have opened their journals.
func TestReturnWhileTheFirstLivesBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := newTestFleet()
		defer f.end()
		f.topUp("joiners", total)
		f.start("a")
		f.start("b")
		time.Sleep(commitTime/3 + commitTime + time.Millisecond)
		f.store.mu.Lock()
		rowCount := len(f.store.rows)
		f.store.rows = make(map[table.Location]table.Row)
		f.store.version = 0
		f.store.era++
		f.store.mu.Unlock()
		assert.Equal(t, rowCount, 2)
		time.Sleep(time.Second)
		assertRestUsable(t, f, total, 10*time.Second, "a", "b")
	})
}

// TestReturnBeforeTheJournalIsRead rolls the store back while the successor of an incarnation
// that has used most of a total starts. The successor has not read what its predecessor has
// left.
func TestReturnBeforeTheJournalIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 100_000
		f := startFleet(total, "a", "b")
		defer f.end()
		f.useMost(total, "b")
		f.kill("b")
		f.start("b")
		time.Sleep(commitTime/3 + time.Millisecond)
		f.store.rollBack(3500 * time.Millisecond)
		f.useRest(total, 10*time.Second, "a", "b")
		assert.NilError(t, f.result())
	})
}
