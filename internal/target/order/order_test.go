package order

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/standin/platform"
)

const (
	target  = "10.0.0.9:8000"
	holders = 3
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20262", "rapid.checks": "300"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeTarget carries out orders, and is the oracle of who was allowed to give them.
type fakeTarget struct {
	checks bool

	mu       sync.Mutex // guards the fields below
	newest   uint64
	problems []error
}

// carryOut runs an order; one of a former holder behind that of a later one breaks the promise.
func (f *fakeTarget) carryOut(fence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks && fence < f.newest {
		return ErrOldFence
	}
	if fence < f.newest {
		f.problems = append(f.problems, fmt.Errorf("order %d was carried out behind %d", fence, f.newest))
	}
	f.newest = max(f.newest, fence)
	return nil
}

// step is one order with the faults on its way.
type step struct {
	Holder int
	Delay  time.Duration // until the target carries it out
	Silent bool          // the holder gets no answer
	Lose   bool          // answers of the table are lost
	Wait   time.Duration // before the next step
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	return step{
		Holder: rapid.IntRange(0, holders-1).Draw(t, "holder"),
		Delay:  ms("delay", 300),
		Silent: rapid.Bool().Draw(t, "silent"),
		Lose:   rapid.Bool().Draw(t, "lose"),
		Wait:   ms("wait", 200),
	}
}), 1, 20)

// run gives the orders in virtual time and returns what the oracle found.
func run(t *testing.T, plan []step, checks, claimAsChecking bool) error {
	t.Helper()
	f := &fakeTarget{checks: checks}
	synctest.Test(t, func(*testing.T) {
		store := platform.NewStore()
		var wait sync.WaitGroup
		for _, s := range plan {
			d := newDesk(store, f, s, &wait)
			wait.Go(func() { _ = d.Give(context.Background(), target, claimAsChecking, "load oak") })
			time.Sleep(s.Wait)
		}
		wait.Wait()
	})
	return errors.Join(f.problems...)
}

// newDesk returns the desk of an incarnation that gives one order.
func newDesk(store *platform.Store, f *fakeTarget, s step, wait *sync.WaitGroup) *Desk {
	return &Desk{
		Holder: fmt.Sprintf("r%d", s.Holder),
		Commit: func(_ context.Context, c table.Commit) (uint64, error) {
			version, err := store.Commit(c)
			if err == nil && s.Lose {
				return 0, table.ErrUnknownOutcome
			}
			return version, err
		},
		Get: func(_ context.Context, keys ...string) ([]table.Row, error) { return store.Get(keys), nil },
		Send: func(_ context.Context, _ string, fence uint64, _ string) error {
			if s.Silent {
				wait.Go(func() {
					time.Sleep(s.Delay)
					_ = f.carryOut(fence)
				})
				return errors.New("no answer")
			}
			time.Sleep(s.Delay)
			return f.carryOut(fence)
		},
	}
}

func TestOneHolderAtATime(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if err := run(t, steps.Draw(rt, "steps"), checks, checks); err != nil {
					rt.Fatalf("%v", err)
				}
			})
		})
	}
}

// Taking over as if the target checked fencing numbers must be noticed.
func TestTakeOverWithoutFencingIsNoticed(t *testing.T) {
	for seed := range 100 {
		if run(t, steps.Example(seed), false, true) != nil {
			return
		}
	}
	t.Fatal("the oracle noticed nothing")
}

func TestSilentOrderHoldsTarget(t *testing.T) {
	store := platform.NewStore()
	f := &fakeTarget{}
	var wait sync.WaitGroup
	silent := newDesk(store, f, step{Holder: 0, Silent: true}, &wait)
	assert.ErrorContains(t, silent.Give(t.Context(), target, false, "load oak"), "no answer")
	wait.Wait()
	other := newDesk(store, f, step{Holder: 1}, &wait)
	assert.ErrorIs(t, other.Give(t.Context(), target, false, "load oak"), ErrHeld)
	assert.NilError(t, other.Release(t.Context(), target))
	assert.NilError(t, other.Give(t.Context(), target, false, "load oak"))
}
