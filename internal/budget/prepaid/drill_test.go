package prepaid

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// startDrill returns a fleet whose VMs are all home routers.
func startDrill(total int64, vmNames ...string) *testFleet {
	f := newTestFleet()
	f.names = vmNames
	f.homes = vmNames
	f.topUp("joiners", total)
	for _, vm := range vmNames {
		f.start(vm)
	}
	time.Sleep(time.Second)
	return f
}

// use lets a VM use a part of the total, in percent, as far as it can.
func (f *testFleet) use(vm string, percent int64) {
	f.mu.Lock()
	n := f.totals["joiners"] / 100
	f.mu.Unlock()
	for range percent {
		f.request(vm, "joiners", n, 1, 10*time.Millisecond)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
}

// useReturned lets a VM draw tokens and return them at a restart, and another one use a part of the total. It returns when
// the first one held its tokens.
func (f *testFleet) useReturned(percent int64) (copied time.Time) {
	f.use("a", 1)
	copied = time.Now()
	f.restart("a")
	f.use("b", percent)
	return copied
}

// restart stops a VM gracefully and starts it again.
func (f *testFleet) restart(vm string) {
	f.leave(vm)
	f.start(vm)
	time.Sleep(time.Second)
}

// killAndStart kills a VM and starts it again.
func (f *testFleet) killAndStart(vm string) {
	f.kill(vm)
	f.start(vm)
	time.Sleep(time.Second)
}

// drill has the store come back from the copy that was made at the given time.
func (f *testFleet) drill(copied time.Time) {
	f.store.rollBack(time.Since(copied))
}

// TestDrillAfterRestartsAndRemovals guards against overspending after a rollback of the store: a VM has returned since the
// copy what that shows it to hold, and another one has used the same tokens and is gone. What nobody can have used is
// usable, unless a VM was lost that nobody knows to have ended.
func TestDrillAfterRestartsAndRemovals(t *testing.T) {
	const total = 60_000
	for _, c := range []struct {
		name   string
		play   func(f *testFleet) (copied time.Time)
		asked  []string
		usable int64 // percent of the total
	}{
		{"restart, all used, removal", func(f *testFleet) time.Time {
			copied := f.useReturned(110)
			f.leave("b")
			return copied
		}, []string{"a", "c"}, 97},
		{"restart, a part used, removal", func(f *testFleet) time.Time {
			copied := f.useReturned(20)
			f.leave("b")
			return copied
		}, []string{"a", "c"}, 97},
		{"all used, removal, restart", func(f *testFleet) time.Time {
			copied := f.useReturned(110)
			f.leave("b")
			f.restart("a")
			return copied
		}, []string{"a", "c"}, 97},
		{"all used, removal, restart of all others", func(f *testFleet) time.Time {
			copied := f.useReturned(110)
			f.leave("b")
			f.restart("a")
			f.restart("c")
			f.restart("a")
			return copied
		}, []string{"a", "c"}, 97},
		{"two removals in a row", func(f *testFleet) time.Time {
			f.use("a", 1)
			copied := time.Now()
			f.leave("a")
			f.use("b", 50)
			f.leave("b")
			f.use("c", 20)
			return copied
		}, []string{"c"}, 97},
		{"the copy is old", func(f *testFleet) time.Time {
			copied := f.useReturned(50)
			f.leave("b")
			time.Sleep(maxCopyAge - 5*time.Second - time.Since(copied))
			return copied
		}, []string{"a", "c"}, 97},
		{"two drills in a row", func(f *testFleet) time.Time {
			copied := f.useReturned(70)
			f.leave("b")
			f.drill(copied)
			time.Sleep(50 * time.Millisecond)
			return time.Now()
		}, []string{"a", "c"}, 97},
		{"a second drill to a copy from between", func(f *testFleet) time.Time {
			copied := f.useReturned(50)
			f.leave("b")
			f.drill(copied)
			time.Sleep(2 * time.Second)
			copied = time.Now()
			f.use("a", 20)
			f.leave("a")
			return copied
		}, []string{"c"}, 97},
		{"a removed VM starts again between two drills", func(f *testFleet) time.Time {
			copied := time.Now()
			f.use("a", 50)
			f.leave("a")
			f.drill(copied)
			time.Sleep(time.Second)
			f.start("a")
			time.Sleep(time.Second)
			return copied
		}, []string{"a", "b", "c"}, 97},
		{"restart, all used, loss", func(f *testFleet) time.Time {
			copied := f.useReturned(110)
			f.kill("b")
			return copied
		}, []string{"a", "c"}, 0},
		{"kill and restart, all used, loss", func(f *testFleet) time.Time {
			f.use("a", 1)
			copied := time.Now()
			f.killAndStart("a")
			f.use("b", 110)
			f.kill("b")
			return copied
		}, []string{"a", "c"}, 0},
		{"all used, loss, restart of all others", func(f *testFleet) time.Time {
			copied := f.useReturned(110)
			f.kill("b")
			f.restart("a")
			f.restart("c")
			return copied
		}, []string{"a", "c"}, 0},
		{"all used, loss, kill of all others", func(f *testFleet) time.Time {
			copied := time.Now()
			f.use("b", 110)
			f.kill("b")
			f.kill("a")
			f.kill("c")
			f.start("a")
			f.start("c")
			time.Sleep(time.Second)
			return copied
		}, []string{"a", "c"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startDrill(total, "a", "b", "c")
				defer f.end()
				f.drill(c.play(f))
				time.Sleep(time.Second)
				used := f.useRest(total, 20*time.Second, c.asked...)
				assert.NilError(t, f.result())
				assert.Assert(t, used >= total*c.usable/100, "used %d of %d", used, total)
			})
		})
	}
}

// TestDrillAfterTwoRestarts guards against overspending after a rollback of the store: a VM has used tokens and restarts
// twice. Its last incarnation, whom the others do not tell, knows that from the journal only.
func TestDrillAfterTwoRestarts(t *testing.T) {
	const total = 60_000
	synctest.Test(t, func(t *testing.T) {
		f := startDrill(total, vms...)
		defer f.end()
		f.mutate = func(m *Manager) { m.FetchRecent = nil }
		copied := time.Now()
		f.use("c", 50)
		f.restart("c")
		f.restart("c")
		f.drill(copied)
		time.Sleep(5 * time.Second)
		f.useRest(total, 20*time.Second, "b", "c")
		assert.NilError(t, f.result())
	})
}

// TestReopenedJournalListsClosedHoldings guards against overspending after a rollback of the store: a process that opens its
// journal again as another incarnation forgot what its closed holdings had used.
func TestReopenedJournalListsClosedHoldings(t *testing.T) {
	const total = 60_000
	synctest.Test(t, func(t *testing.T) {
		f := startDrill(total, "a", "b")
		defer f.end()
		f.use("a", 50)
		m := f.incarnationOf("a").manager
		assert.NilError(t, m.returnAll(t.Context(), keepNothing))
		before := m.incarnation()
		assert.NilError(t, m.reopen(t.Context(), errReclaimed))
		used := m.journal.formerIncarnations()[before].Bounds["joiners"]
		assert.Equal(t, used.Tokens+used.ClosedUsage, int64(total/2))
	})
}

// TestNeverOverspentInDrills plays random restarts, removals and losses of VMs before one rollback of the store or two.
func TestNeverOverspentInDrills(t *testing.T) {
	const total = 60_000
	actions := []string{"use", "use", "use", "restart", "remove", "kill", "start", "wait", "copy", "drill"}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) drillStep {
			return drillStep{
				action:  rapid.SampledFrom(actions).Draw(rt, "action"),
				vm:      rapid.SampledFrom(vms).Draw(rt, "vm"),
				percent: rapid.Int64Range(1, 110).Draw(rt, "percent"),
			}
		}), 4, 14).Draw(rt, "plan")
		var violation error
		synctest.Test(t, func(*testing.T) {
			f := startDrill(total, vms...)
			f.playDrill(plan)
			f.end()
			violation = f.result()
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// drillStep is one event of a random drill.
type drillStep struct {
	action  string
	vm      string
	percent int64
}

// String returns the event for the report of a failure.
func (s drillStep) String() string { return fmt.Sprintf("%s %s %d", s.action, s.vm, s.percent) }

// playDrill plays the steps and a rollback at the end, and then uses what is usable.
func (f *testFleet) playDrill(plan []drillStep) {
	copied := time.Now()
	for _, s := range append(slices.Clone(plan), drillStep{action: "drill"}) {
		runs := f.incarnationOf(s.vm) != nil
		switch {
		case s.action == "use":
			f.use(s.vm, s.percent)
		case s.action == "restart" && runs:
			f.restart(s.vm)
		case s.action == "remove":
			f.leave(s.vm)
		case s.action == "kill":
			f.kill(s.vm)
		case s.action == "start" && !runs:
			f.start(s.vm)
			time.Sleep(time.Second)
		case s.action == "wait":
			time.Sleep(time.Duration(s.percent) * 100 * time.Millisecond)
		case s.action == "copy":
			copied = time.Now()
		case s.action == "drill":
			f.store.rollBack(min(time.Since(copied), maxCopyAge-time.Second))
			time.Sleep(time.Second)
		}
	}
	running := f.vmNames()
	for n := 0; n < 200 && len(running) > 0; n++ {
		f.request(running[n%len(running)], "joiners", f.totals["joiners"]/150, 1, 10*time.Millisecond)
		time.Sleep(60 * time.Millisecond)
	}
}

// TestCoverageEndsWithAPause guards against an era that is settled without waiting for a VM that came and went while the only
// one that is left was paused.
func TestCoverageEndsWithAPause(t *testing.T) {
	var c coverage
	now := time.Now()
	c.since, c.notedAt = now, now
	for range 31 {
		now = now.Add(time.Second)
		c.noteLook(now)
	}
	assert.Assert(t, c.isComplete(now))
	now = now.Add(coverageGap + time.Second)
	assert.Assert(t, !c.isComplete(now), "before the next look")
	c.noteLook(now)
	assert.Assert(t, !c.isComplete(now), "after the next look")
}
