package relay

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/standin/platform"
)

// The faults that can be injected into one operation by one route.
const (
	noFault     = iota
	unreachable // the operation does not arrive
	lostBefore  // no reply, and the operation is not applied
	lostAfter   // no reply, and the operation is applied
	unavailable // the table refuses the operation
	faultCount
)

// testFleet is a router and two peers that reach one table by routes with injected
// faults.
type testFleet struct {
	store            *platform.Store
	applied          map[string]int // number of times a commit was applied, by key of its first write
	router           *Table
	directFault      int // fault of the router's direct route
	peers            []*Table
	callFaults       []int // fault of the call to each peer
	peerDirectFaults []int // fault of each peer's direct route
}

func newTestFleet() *testFleet {
	f := &testFleet{store: platform.NewStore(), applied: map[string]int{}, callFaults: make([]int, 2), peerDirectFaults: make([]int, 2)}
	for i := range f.callFaults {
		f.peers = append(f.peers, f.table(&f.peerDirectFaults[i]))
	}
	f.router = f.table(&f.directFault)
	f.router.Call = f.call
	f.router.PeerAddrs = func() []string { return []string{"0", "1"} }
	return f
}

// table returns the Table of a router whose direct route has the fault.
func (f *testFleet) table(fault *int) *Table {
	return &Table{
		DirectCommit: func(_ context.Context, c table.Commit) (uint64, error) { return f.commit(*fault, c) },
		DirectGet: func(_ context.Context, keys ...string) ([]table.Row, error) {
			if *fault != noFault {
				return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, table.ErrUnreachable)
			}
			return f.store.Get(keys), nil
		},
	}
}

// commit applies c to the store unless the fault prevents it.
func (f *testFleet) commit(fault int, c table.Commit) (uint64, error) {
	switch fault {
	case unreachable:
		return 0, fmt.Errorf("%w: %w", table.ErrUnavailable, table.ErrUnreachable)
	case unavailable:
		return 0, table.ErrUnavailable
	case lostBefore:
		return 0, table.ErrUnknownOutcome
	}
	version, err := f.store.Commit(c)
	if err == nil {
		f.applied[c.Puts[0].Key]++
	}
	if fault == lostAfter {
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

// call passes a call to the peer with the index addr, with the fault of that call.
func (f *testFleet) call(ctx context.Context, addr, method string, in, out any) error {
	i := int(addr[0] - '0')
	switch f.callFaults[i] {
	case unreachable, unavailable:
		return peer.ErrNotSent
	case lostBefore:
		return context.DeadlineExceeded
	}
	params, err := json.Marshal(in)
	if err != nil {
		return err
	}
	handle := f.peers[i].HandleCommit
	if method == inner.MethodTableGet {
		handle = f.peers[i].HandleGet
	}
	answer, err := handle(ctx, params)
	if err != nil || f.callFaults[i] == lostAfter {
		return errors.Join(err, context.DeadlineExceeded)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// commitAndCheck sends one commit, with a condition that fails if conflict is set, and
// checks its result against the number of times the commit was applied.
func (f *testFleet) commitAndCheck(key string, conflict bool) error {
	c := table.Commit{Puts: []table.Put{{Location: table.Location{Key: key}, Value: json.RawMessage("1")}}}
	if conflict {
		c.Require("absent", 7)
	}
	_, err := f.router.Commit(context.Background(), c)
	n := f.applied[key]
	var conflicts *table.ConflictError
	switch {
	case err == nil && n != 1:
		return fmt.Errorf("commit succeeded but was applied %d times", n)
	case errors.As(err, &conflicts) && (!conflict || n != 0):
		return fmt.Errorf("conflict reported but commit was applied %d times", n)
	case errors.Is(err, table.ErrUnavailable) && n != 0:
		return fmt.Errorf("commit was refused but applied %d times", n)
	case n > 1:
		return fmt.Errorf("commit was applied %d times", n)
	}
	return nil
}

// step is one commit, the faults injected during it, and the wait after it.
type step struct {
	Direct     int    // fault of the router's direct route
	Calls      [2]int // fault of the call to each peer
	PeerDirect [2]int // fault of each peer's direct route
	Conflict   bool
	Wait       time.Duration
}

// runSteps runs the steps on a new fleet, which adjust may change first, and returns the
// first failed check.
func runSteps(t *testing.T, steps []step, adjust func(f *testFleet)) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		f := newTestFleet()
		if adjust != nil {
			adjust(f)
		}
		for i, s := range steps {
			f.directFault = s.Direct
			copy(f.callFaults, s.Calls[:])
			copy(f.peerDirectFaults, s.PeerDirect[:])
			if err = f.commitAndCheck(fmt.Sprint("row-", i), s.Conflict); err != nil {
				return
			}
			time.Sleep(s.Wait)
		}
	})
	return err
}

func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		_ = flag.Set("rapid.seed", "8")
	}
	m.Run()
}

// TestOutcomeIsTrue guards against a commit that is applied twice, and against a reported
// outcome that differs from what was applied, under random faults of all routes.
func TestOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.IntRange(0, faultCount-1)
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Direct:     fault.Draw(t, "direct"),
				Calls:      [2]int{fault.Draw(t, "call_0"), fault.Draw(t, "call_1")},
				PeerDirect: [2]int{fault.Draw(t, "reach_0"), fault.Draw(t, "reach_1")},
				Conflict:   rapid.Bool().Draw(t, "conflict"),
				Wait:       time.Duration(rapid.IntRange(0, 3).Draw(t, "wait_s")) * time.Second,
			}
		}), 1, 20).Draw(rt, "attempts")
		if err := runSteps(t, steps, nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestUnknownOutcomeIsNotRepeated lets the reply of an applied commit be lost. With
// unknown outcomes treated as unreachable, the check must report a second application.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	steps := []step{{Direct: unreachable, Calls: [2]int{lostAfter, noFault}}}
	retryUnknown := func(f *testFleet) {
		f.router.outcomeOverride = func(ack inner.TableAck, err error) error {
			if err != nil {
				return table.ErrUnreachable
			}
			return commitOutcome(ack, err)
		}
	}
	assert.NilError(t, runSteps(t, steps, nil))
	assert.Assert(t, runSteps(t, steps, retryUnknown) != nil, "a commit retried after an unknown outcome is not detected")
}

func TestRouterThatIsCutOffGoesOn(t *testing.T) {
	f := newTestFleet()
	f.directFault = unreachable
	f.callFaults[0] = unreachable
	ctx := context.Background()
	_, err := f.router.Commit(ctx, table.Commit{Puts: []table.Put{{Location: table.Location{Key: "a"}, Value: json.RawMessage("1")}}})
	assert.NilError(t, err)
	rows, err := f.router.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, f.router.candidates()[0], "1", "the peer used last is tried first")
}
