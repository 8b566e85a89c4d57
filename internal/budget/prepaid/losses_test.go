package prepaid

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/demand"
)

// startHolders returns a fleet in which each VM holds tokens of its own.
func startHolders(total int64, vmNames ...string) *testFleet {
	f := newTestFleet()
	f.topUp("joiners", total)
	f.mutate = func(m *Manager) {
		m.HomeRouters = func(string) ([]string, bool) {
			return slices.DeleteFunc(f.vmNames(), func(vm string) bool { return vm == m.VM || !f.reaches(m.VM, vm) }), true
		}
		m.DrawSize = demand.SizeByShare(func() int { return len(vmNames) })
	}
	for _, vm := range vmNames {
		f.start(vm)
	}
	time.Sleep(time.Second)
	return f
}

// setStoreFault makes the store treat the calls of the VMs in the same way.
func (f *testFleet) setStoreFault(to fault, vmNames ...string) {
	for _, vm := range vmNames {
		f.store.setFault(vm, to)
	}
}

// killEvery kills the VMs one after the other.
func (f *testFleet) killEvery(interval time.Duration, vmNames ...string) {
	for n, vm := range vmNames {
		if n > 0 {
			time.Sleep(interval)
		}
		f.kill(vm)
	}
}

var sevenVMs = []string{"a", "b", "c", "d", "e", "f", "g"}

// TestTokensComeBackWhateverIsLost guards against false refusals for good after losses of any number of VMs, at once or
// one after the other, beside faults of the store. At least two are left that may reclaim.
func TestTokensComeBackWhateverIsLost(t *testing.T) {
	const total = 100_000
	lost, left := sevenVMs[:5], sevenVMs[5:]
	for _, c := range []struct {
		name string
		lose func(f *testFleet)
		left []string
	}{
		{"one of seven", func(f *testFleet) { f.kill("a") }, sevenVMs[1:]},
		{"three of seven at once", func(f *testFleet) { f.killEvery(0, "a", "b", "c") }, sevenVMs[3:]},
		{"five of seven at once", func(f *testFleet) { f.killEvery(0, lost...) }, left},
		{"five of seven, a second apart", func(f *testFleet) { f.killEvery(time.Second, lost...) }, left},
		{"five of seven, ten seconds apart", func(f *testFleet) { f.killEvery(10*time.Second, lost...) }, left},
		{"five of seven while they lack the store", func(f *testFleet) {
			f.setStoreFault(unreachable, lost...)
			f.useMost(total/5, lost...)
			f.killEvery(0, lost...)
		}, left},
		{"five of seven while nobody reaches the store", func(f *testFleet) {
			f.setStoreFault(unreachable, sevenVMs...)
			f.useMost(total/5, lost...)
			f.killEvery(0, lost...)
			time.Sleep(3 * time.Second)
			f.setStoreFault(noFault, sevenVMs...)
		}, left},
		{"five of seven right after the store has lost answers", func(f *testFleet) {
			f.setStoreFault(losingAnswers, lost...)
			f.useMost(total/5, lost...)
			f.setStoreFault(noFault, lost...)
			f.killEvery(0, lost...)
		}, left},
		{"five of seven while one that is left lacks the store", func(f *testFleet) {
			f.setStoreFault(unreachable, "f")
			f.killEvery(0, lost...)
			time.Sleep(20 * time.Second)
			f.setStoreFault(noFault, "f")
		}, left},
		{"five of seven while one that is left is cut off for a while", func(f *testFleet) {
			f.setCut("f", true)
			f.killEvery(0, lost...)
			time.Sleep(8 * time.Second)
			f.setCut("f", false)
		}, left},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startHolders(total, sevenVMs...)
				defer f.end()
				f.useMost(total/2, lost...)
				time.Sleep(time.Second)
				c.lose(f)
				used := f.usable(t, total, 30*time.Second, c.left...)
				assert.Assert(t, used >= total*97/100, "used %d of %d", used, total)
				assert.NilError(t, f.result())
			})
		})
	}
}

// TestVMsThatAreCutOffTogetherStayWithinWhatIsReclaimed guards against overspending: some VMs are cut off together, without
// the store, and serve on while the others reclaim their holdings and use the tokens. Then they come back.
func TestVMsThatAreCutOffTogetherStayWithinWhatIsReclaimed(t *testing.T) {
	const total = 100_000
	for _, cut := range []int{1, 3, 5, 6} {
		t.Run(fmt.Sprintf("%d of 7", cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startHolders(total, sevenVMs...)
				defer f.end()
				away, left := sevenVMs[:cut], sevenVMs[cut:]
				f.useMost(total/4, sevenVMs...)
				f.cutOffTogether(away...)
				for range 6 {
					f.useRest(total, 500*time.Millisecond, away...)
					f.useRest(total, 500*time.Millisecond, left...)
					time.Sleep(time.Second)
				}
				f.rejoin(away...)
				f.topUp("joiners", total)
				time.Sleep(time.Second)
				used := f.useRest(2*total, 15*time.Second, sevenVMs...)
				assert.NilError(t, f.result())
				assert.Assert(t, used >= 2*total*90/100, "used %d of %d", used, 2*total)
			})
		})
	}
}

// TestAllHomeRoutersAreLost loses all that hold tokens of a workspace in a larger fleet, under load. What each of them costs
// adds up.
func TestAllHomeRoutersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 1_000_000
		fleet := append(slices.Clone(sevenVMs), "h", "i", "j", "k")
		f := startHolders(total, fleet...)
		defer f.end()
		f.useMost(total/2, fleet[:8]...)
		time.Sleep(time.Second)
		f.killEvery(0, fleet[:8]...)
		used := f.usable(t, total, 30*time.Second, fleet[8:]...)
		assert.Assert(t, used >= total*97/100, "used %d of %d", used, total)
		assert.NilError(t, f.result())
	})
}

// TestOneThatIsLeftAlone loses all VMs but one. It can not know whether they serve on together without it, so that only
// what they can not use comes back at once. Nobody is told that the rest is used up, and it comes back when one of
// them does.
func TestOneThatIsLeftAlone(t *testing.T) {
	const total = 100_000
	for _, c := range []struct {
		name    string
		trouble func(f *testFleet)
		usable  int64 // percent of the total
	}{
		{"they are lost for good", func(f *testFleet) { f.killEvery(0, sevenVMs[:6]...) }, 50},
		{"one of them comes back later", func(f *testFleet) {
			f.killEvery(0, sevenVMs[:5]...)
			f.cutOffTogether("f")
			time.AfterFunc(30*time.Second, func() { f.rejoin("f") })
		}, 97},
		{"they are only cut off together", func(f *testFleet) {
			f.cutOffTogether(sevenVMs[:6]...)
			f.useRest(total, 20*time.Second, sevenVMs[:6]...)
			time.AfterFunc(10*time.Second, func() { f.rejoin(sevenVMs[:6]...) })
		}, 97},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startHolders(total, sevenVMs...)
				defer f.end()
				f.useMost(total/2, sevenVMs...)
				time.Sleep(time.Second)
				c.trouble(f)
				used := f.usable(t, total, 50*time.Second, "g")
				assert.NilError(t, f.result())
				assert.Assert(t, used >= total*c.usable/100, "used %d of %d", used, total)
			})
		})
	}
}
