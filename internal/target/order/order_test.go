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

// TestMain sets a fixed seed, so that every run tests the same cases. Flags on the
// command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20262", "rapid.checks": "300"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeTarget executes orders and records those that violate the exclusive claim.
type fakeTarget struct {
	checksFencing bool

	mu           sync.Mutex // guards the fields below
	highestToken uint64
	violations   []error
}

// execute executes an order. An order of a former holder that is executed after an
// order of a later holder is a violation.
func (f *fakeTarget) execute(token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFencing && token < f.highestToken {
		return ErrStaleToken
	}
	if token < f.highestToken {
		f.violations = append(f.violations, fmt.Errorf("order with token %d was executed after one with token %d", token, f.highestToken))
	}
	f.highestToken = max(f.highestToken, token)
	return nil
}

// step is one order and the faults that affect it.
type step struct {
	Holder            int
	Delay             time.Duration // before the target executes the order
	LoseReply         bool          // the reply of the target is lost
	LoseCommitAnswers bool          // the answers to successful commits are lost
	Wait              time.Duration // before the next step
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	duration := func(label string, maxMS int) time.Duration {
		return time.Duration(rapid.IntRange(0, maxMS).Draw(t, label)) * time.Millisecond
	}
	return step{
		Holder:            rapid.IntRange(0, holders-1).Draw(t, "holder"),
		Delay:             duration("delay", 300),
		LoseReply:         rapid.Bool().Draw(t, "silent"),
		LoseCommitAnswers: rapid.Bool().Draw(t, "lose"),
		Wait:              duration("wait", 200),
	}
}), 1, 20)

// runSteps sends the orders in virtual time and returns the violations. The target
// checks fencing tokens if checksFencing is set; the routers assume it if
// assumeFencing is set.
func runSteps(t *testing.T, sequence []step, checksFencing, assumeFencing bool) error {
	t.Helper()
	f := &fakeTarget{checksFencing: checksFencing}
	synctest.Test(t, func(*testing.T) {
		store := platform.NewStore()
		var wg sync.WaitGroup
		for _, s := range sequence {
			commander := newCommander(store, f, s, &wg)
			wg.Go(func() { _ = commander.SendOrder(context.Background(), target, assumeFencing, "load oak") })
			time.Sleep(s.Wait)
		}
		wg.Wait()
	})
	return errors.Join(f.violations...)
}

// newCommander returns the commander of a router that sends the order of one step.
func newCommander(store *platform.Store, f *fakeTarget, s step, wg *sync.WaitGroup) *Commander {
	return &Commander{
		Holder: fmt.Sprintf("r%d", s.Holder),
		Commit: func(_ context.Context, c table.Commit) (uint64, error) {
			version, err := store.Commit(c)
			if err == nil && s.LoseCommitAnswers {
				return 0, table.ErrUnknownOutcome
			}
			return version, err
		},
		Get: func(_ context.Context, keys ...string) ([]table.Row, error) { return store.Get(keys), nil },
		Send: func(_ context.Context, _ string, token uint64, _ string) error {
			if s.LoseReply {
				wg.Go(func() {
					time.Sleep(s.Delay)
					_ = f.execute(token)
				})
				return errors.New("no answer")
			}
			time.Sleep(s.Delay)
			return f.execute(token)
		},
	}
}

// TestOneHolderAtATime checks that no order of a former holder is executed after one
// of a later holder, when replies and commit answers are lost and orders are delayed.
func TestOneHolderAtATime(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks fencing %t", checksFencing), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if err := runSteps(t, steps.Draw(rt, "steps"), checksFencing, checksFencing); err != nil {
					rt.Fatalf("%v", err)
				}
			})
		})
	}
}

// TestTakeOverWithoutFencingIsNoticed guards against an oracle that detects nothing:
// if routers take claims over although the target checks no fencing tokens, it must
// report a violation.
func TestTakeOverWithoutFencingIsNoticed(t *testing.T) {
	for seed := range 100 {
		if runSteps(t, steps.Example(seed), false, true) != nil {
			return
		}
	}
	t.Fatal("oracle detected no violation in 100 cases")
}

// TestSilentOrderHoldsTarget checks that an order without a reply keeps the claim, on
// a target that does not check fencing tokens, until an operator releases it.
func TestSilentOrderHoldsTarget(t *testing.T) {
	store := platform.NewStore()
	f := &fakeTarget{}
	var wg sync.WaitGroup
	unanswered := newCommander(store, f, step{Holder: 0, LoseReply: true}, &wg)
	assert.ErrorContains(t, unanswered.SendOrder(t.Context(), target, false, "load oak"), "no answer")
	wg.Wait()
	other := newCommander(store, f, step{Holder: 1}, &wg)
	assert.ErrorIs(t, other.SendOrder(t.Context(), target, false, "load oak"), ErrClaimed)
	assert.NilError(t, other.ReleaseClaim(t.Context(), target))
	assert.NilError(t, other.SendOrder(t.Context(), target, false, "load oak"))
}
