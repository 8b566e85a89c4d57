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

// The ways in which one operation over one way can go.
const (
	works = iota
	unreachable
	lostBefore
	lostAfter
	refuses
	faults
)

// world is a table behind faulty ways.
type world struct {
	store   *platform.Store
	applied map[string]int // by key of the commit's first write
	router  *Table
	direct  int
	peers   []*Table
	calls   []int // fault of the call to each peer
	reaches []int // fault of each peer's own way
}

func newWorld() *world {
	w := &world{store: platform.NewStore(), applied: map[string]int{}, calls: make([]int, 2), reaches: make([]int, 2)}
	for i := range w.calls {
		w.peers = append(w.peers, w.table(&w.reaches[i]))
	}
	w.router = w.table(&w.direct)
	w.router.Call = w.call
	w.router.Peers = func() []string { return []string{"0", "1"} }
	return w
}

// table is a router's table whose direct way has the fault.
func (w *world) table(fault *int) *Table {
	return &Table{
		DirectCommit: func(_ context.Context, c table.Commit) (uint64, error) { return w.commit(*fault, c) },
		DirectGet: func(_ context.Context, keys ...string) ([]table.Row, error) {
			if *fault != works {
				return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, table.ErrUnreachable)
			}
			return w.store.Get(keys), nil
		},
	}
}

func (w *world) commit(fault int, c table.Commit) (uint64, error) {
	switch fault {
	case unreachable:
		return 0, fmt.Errorf("%w: %w", table.ErrUnavailable, table.ErrUnreachable)
	case refuses:
		return 0, table.ErrUnavailable
	case lostBefore:
		return 0, table.ErrUnknownOutcome
	}
	version, err := w.store.Commit(c)
	if err == nil {
		w.applied[c.Puts[0].Key]++
	}
	if fault == lostAfter {
		return 0, table.ErrUnknownOutcome
	}
	return version, err
}

func (w *world) call(ctx context.Context, addr, method string, in, out any) error {
	i := int(addr[0] - '0')
	switch w.calls[i] {
	case unreachable, refuses:
		return peer.ErrNotSent
	case lostBefore:
		return context.DeadlineExceeded
	}
	params, err := json.Marshal(in)
	if err != nil {
		return err
	}
	handle := w.peers[i].HandleCommit
	if method == inner.MethodTableGet {
		handle = w.peers[i].HandleGet
	}
	answer, err := handle(ctx, params)
	if err != nil || w.calls[i] == lostAfter {
		return errors.Join(err, context.DeadlineExceeded)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// try sends one commit and checks that its outcome is the truth.
func (w *world) try(key string, conflict bool) error {
	c := table.Commit{Puts: []table.Put{{Place: table.Place{Key: key}, Value: json.RawMessage("1")}}}
	if conflict {
		c.Require("absent", 7)
	}
	_, err := w.router.Commit(context.Background(), c)
	n := w.applied[key]
	var conflicts *table.ConflictError
	switch {
	case err == nil && n != 1:
		return fmt.Errorf("the commit succeeded and was applied %d times", n)
	case errors.As(err, &conflicts) && (!conflict || n != 0):
		return fmt.Errorf("a conflict was reported and the commit applied %d times", n)
	case errors.Is(err, table.ErrUnavailable) && n != 0:
		return fmt.Errorf("the commit was refused and applied %d times", n)
	case n > 1:
		return fmt.Errorf("the commit was applied %d times", n)
	}
	return nil
}

// attempt is one commit with the faults of the ways at its time.
type attempt struct {
	Direct   int
	Calls    [2]int
	Reaches  [2]int
	Conflict bool
	Wait     time.Duration
}

func play(t *testing.T, attempts []attempt, adjust func(w *world)) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		w := newWorld()
		if adjust != nil {
			adjust(w)
		}
		for i, a := range attempts {
			w.direct = a.Direct
			copy(w.calls, a.Calls[:])
			copy(w.reaches, a.Reaches[:])
			if err = w.try(fmt.Sprint("row-", i), a.Conflict); err != nil {
				return
			}
			time.Sleep(a.Wait)
		}
	})
	return err
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "8")
	}
	m.Run()
}

func TestOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.IntRange(0, faults-1)
		attempts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attempt {
			return attempt{
				Direct:   fault.Draw(t, "direct"),
				Calls:    [2]int{fault.Draw(t, "call_0"), fault.Draw(t, "call_1")},
				Reaches:  [2]int{fault.Draw(t, "reach_0"), fault.Draw(t, "reach_1")},
				Conflict: rapid.Bool().Draw(t, "conflict"),
				Wait:     time.Duration(rapid.IntRange(0, 3).Draw(t, "wait_s")) * time.Second,
			}
		}), 1, 20).Draw(rt, "attempts")
		if err := play(t, attempts, nil); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	attempts := []attempt{{Direct: unreachable, Calls: [2]int{lostAfter, works}}}
	blind := func(w *world) {
		w.router.outcome = func(ack inner.TableAck, err error) error {
			if err != nil {
				return table.ErrUnreachable
			}
			return commitOutcome(ack, err)
		}
	}
	assert.NilError(t, play(t, attempts, nil))
	assert.Assert(t, play(t, attempts, blind) != nil, "a commit that was repeated blindly is not caught")
}

func TestRouterThatIsCutOffGoesOn(t *testing.T) {
	w := newWorld()
	w.direct = unreachable
	w.calls[0] = unreachable
	ctx := context.Background()
	_, err := w.router.Commit(ctx, table.Commit{Puts: []table.Put{{Place: table.Place{Key: "a"}, Value: json.RawMessage("1")}}})
	assert.NilError(t, err)
	rows, err := w.router.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, w.router.candidates()[0], "1", "the way that works is tried first")
}
