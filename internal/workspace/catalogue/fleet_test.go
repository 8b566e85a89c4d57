package catalogue

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	testRouters = 4
	inForce     = 5 * time.Second // goal for the fleets of today
	testCases   = 150
)

// step is one thing that happens to the fleet.
type step struct {
	Action string
	Router int
	Other  int
	Item   int
	Delay  time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Action: rapid.SampledFrom([]string{
			"set", "set", "set", "race", "race", "delete", "repeat", "down", "slow", "lose", "late", "heal",
			"lag", "cut", "join", "restart", "settle", "wait",
		}).Draw(t, "action"),
		Router: rapid.IntRange(0, testRouters-1).Draw(t, "router"),
		Other:  rapid.IntRange(0, testRouters-1).Draw(t, "other"),
		Item:   rapid.IntRange(0, 2).Draw(t, "item"),
		Delay:  time.Duration(rapid.IntRange(1, 1900).Draw(t, "delay")) * time.Millisecond,
	}
}), 1, 40)

// outcome is what an operator was told.
type outcome struct {
	id      string
	step    step
	version uint64
	err     error
}

// run carries out the steps in virtual time and returns what the oracle found.
func run(t *testing.T, plan []step, disable func(c *Catalogue)) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		w := newWorld(testRouters, disable)
		d := &driver{world: w}
		for i, s := range plan {
			d.step(i, s)
		}
		d.finish()
		w.close()
		err = errors.Join(w.problems...)
	})
	return err
}

type driver struct {
	*world
	operators sync.WaitGroup
	done      sync.Mutex // guards outcomes
	outcomes  []outcome
}

func (d *driver) step(i int, s step) {
	n := d.nodes[s.Router]
	switch s.Action {
	case "set", "delete":
		d.operate(fmt.Sprintf("c%d", i), s, s.Router)
	case "race":
		d.operate(fmt.Sprintf("c%da", i), s, s.Router)
		d.operate(fmt.Sprintf("c%db", i), s, s.Other)
	case "repeat": // the same command through two routers at once
		d.operate(fmt.Sprintf("c%d", i), s, s.Router)
		d.operate(fmt.Sprintf("c%d", i), s, s.Other)
	case "down":
		d.setLink(n, func(l *link) { l.down = true })
	case "slow":
		d.setLink(n, func(l *link) { l.delay = s.Delay })
	case "lose":
		d.setLink(n, func(l *link) { l.lose = 1 })
	case "late":
		d.setLink(n, func(l *link) { l.late = s.Delay })
	case "lag":
		d.setLag(n, s.Delay/4)
	case "heal":
		d.setLink(n, func(l *link) { *l = link{} })
		d.setLag(n, 0)
	case "cut", "join":
		d.setCut(s.Router, s.Other, s.Action == "cut")
	case "restart":
		n.stop()
		d.start(s.Router)
	case "settle":
		d.settle()
	case "wait":
		time.Sleep(s.Delay)
	}
	time.Sleep(10 * time.Millisecond)
}

// operate sends a command and repeats it through other routers while its outcome is unknown.
func (d *driver) operate(id string, s step, router int) {
	d.operators.Go(func() {
		o := outcome{id: id, step: s}
		for try := range 3 {
			o.version, o.err = d.send(id, s, (router+try)%testRouters)
			if definite(o.err) {
				break
			}
		}
		d.done.Lock()
		defer d.done.Unlock()
		d.outcomes = append(d.outcomes, o)
		if o.err == nil {
			d.mu.Lock()
			d.accepted = max(d.accepted, o.version)
			d.mu.Unlock()
		}
	})
}

// definite reports whether the answer tells what became of the command.
func definite(err error) bool {
	var raced *RacedError
	var refused *RefusedError
	return err == nil || errors.As(err, &raced) || errors.As(err, &refused)
}

func (d *driver) send(id string, s step, router int) (uint64, error) {
	d.mu.Lock()
	c := d.nodes[router].cat
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := c.Refresh(ctx); err != nil {
		return 0, err
	}
	name := fmt.Sprintf("w%d", s.Item)
	item, err := NewItem(KindWorkspace, name, Workspace{Name: name, Weight: int64(s.Delay)})
	if s.Action == "delete" {
		item = Deletion(KindWorkspace, name)
	}
	if err != nil {
		return 0, err
	}
	return c.Accept(ctx, c.Current().Version(), Change{CommandID: id, Items: []Item{item}})
}

// settle lets the bound pass and checks every router that reaches the table, or a router that does.
func (d *driver) settle() {
	d.mu.Lock()
	accepted := d.accepted
	reaches := make([]bool, testRouters)
	for i, n := range d.nodes {
		reaches[i] = !n.link.down && n.link.delay <= 500*time.Millisecond
	}
	d.mu.Unlock()
	time.Sleep(inForce)
	for i, n := range d.nodes {
		reached := reaches[i]
		for j := range d.nodes {
			reached = reached || (reaches[j] && !d.cut[[2]int{min(i, j), max(i, j)}])
		}
		if version := n.cat.Current().Version(); reached && version < accepted {
			d.fail("router %d is at version %d %v after %d was accepted", i, version, inForce, accepted)
		}
	}
}

// finish heals the fleet and checks what the operators were told.
func (d *driver) finish() {
	d.operators.Wait()
	for _, n := range d.nodes {
		d.setLink(n, func(l *link) { *l = link{} })
	}
	d.mu.Lock()
	clear(d.cut)
	d.mu.Unlock()
	time.Sleep(2 * time.Second) // late commits take effect
	for _, o := range d.outcomes {
		if !definite(o.err) {
			o.version, o.err = d.send(o.id, o.step, 0)
		}
		d.checkOutcome(o)
	}
	d.settle()
}

func (d *driver) checkOutcome(o outcome) {
	d.mu.Lock()
	applied, times := d.applied, maps.Clone(d.ids)
	d.mu.Unlock()
	var raced *RacedError
	var refused *RefusedError
	switch {
	case errors.As(o.err, &refused):
		if times[o.id] != 0 {
			d.fail("command %s was refused before but took effect", o.id)
		}
	case o.err == nil:
		if o.version == 0 || o.version > uint64(len(applied)) || applied[o.version-1].CommandID != o.id {
			d.fail("command %s was answered with version %d, which it did not make", o.id, o.version)
		}
	case errors.As(o.err, &raced):
		if times[o.id] != 0 {
			d.fail("command %s was refused but took effect", o.id)
		}
		if raced.Current <= raced.Base {
			d.fail("command %s lost a race at version %d to version %d", o.id, raced.Base, raced.Current)
		}
		if len(raced.Changes) > 0 && times[raced.Changes[0].CommandID] == 0 {
			d.fail("command %s was shown a change that was not accepted", o.id)
		}
	default:
		d.fail("command %s has no definite answer from a healthy table: %w", o.id, o.err)
	}
}

func TestDirectedHistories(t *testing.T) {
	for _, plan := range [][]step{crossedRepeat, leftBehind()} {
		assert.NilError(t, run(t, plan, nil))
	}
}

func TestFleetKeepsConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := steps.Draw(rt, "steps")
		if err := run(t, plan, nil); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// The oracle must notice each mechanism that is switched off.
func TestMechanismOff(t *testing.T) {
	hide := func(c *Catalogue, prefix string) {
		get := c.Get
		c.Get = func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if len(keys) == 1 && len(keys[0]) > len(prefix) && keys[0][:len(prefix)] == prefix {
				return nil, nil
			}
			return get(ctx, keys...)
		}
	}
	unconditional := func(c *Catalogue, prefix string) {
		commit := c.Commit
		c.Commit = func(ctx context.Context, cm table.Commit) (uint64, error) {
			var kept []table.Condition
			for _, cond := range cm.Conditions {
				if len(cond.Key) < len(prefix) || cond.Key[:len(prefix)] != prefix {
					kept = append(kept, cond)
				}
			}
			cm.Conditions = kept
			return commit(ctx, cm)
		}
	}
	for _, tc := range []struct {
		name    string
		disable func(c *Catalogue)
		want    string
	}{
		{"lower versions replace higher ones", func(c *Catalogue) { c.newer = func(_, _ *Snapshot) bool { return true } }, "went back"},
		{"gaps in the log are ignored", func(c *Catalogue) { c.follows = func(_, _ uint64) bool { return true } }, "version"},
		{"the head is no condition", func(c *Catalogue) { unconditional(c, headKey) }, "accepted twice"},
		{"an accepted command is not recognised", func(c *Catalogue) { hide(c, commandPrefix) }, "no definite answer"},
		{"a refusal is not recorded", func(c *Catalogue) {
			commit := c.Commit
			c.Commit = func(ctx context.Context, cm table.Commit) (uint64, error) {
				if len(cm.Puts) == 1 {
					return 0, nil
				}
				return commit(ctx, cm)
			}
		}, "refused but took effect"},
		{"a command's row is no condition", func(c *Catalogue) {
			hide(c, commandPrefix)
			unconditional(c, commandPrefix)
		}, "changed something twice"},
		{"other routers are not asked", func(c *Catalogue) {
			c.AskPeer = func(context.Context, string, inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
				return inner.ConfigurationResponse{}, errors.New("off")
			}
		}, "was accepted"},
		{"the table is not polled", func(c *Catalogue) { c.PollInterval = time.Hour }, "was accepted"},
	} {
		t.Run(tc.name, func(t *testing.T) { assertNoticed(t, tc.disable, tc.want) })
	}
}

// crossedRepeat sends one command through two routers while another change is on its way.
var crossedRepeat = []step{
	{Action: "slow", Router: 1, Delay: 2 * time.Millisecond},
	{Action: "set", Router: 1, Delay: time.Millisecond},
	{Action: "repeat", Router: 0, Other: 1, Delay: time.Millisecond},
}

// leftBehind cuts router 3 off until the log no longer reaches back to its version.
func leftBehind() []step {
	plan := []step{{Action: "set", Delay: 1}, {Action: "settle"}, {Action: "down", Router: 3}}
	for i := range testRouters - 1 {
		plan = append(plan, step{Action: "cut", Router: 3, Other: i})
	}
	for i := range 20 {
		plan = append(plan, step{Action: "set", Item: min(i, 1), Delay: time.Duration(i + 2)})
	}
	return append(plan, step{Action: "heal", Router: 3}, step{Action: "settle"})
}

func assertNoticed(t *testing.T, disable func(c *Catalogue), want string) {
	t.Helper()
	plans := [][]step{crossedRepeat, leftBehind()}
	for seed := range 400 {
		plans = append(plans, steps.Example(seed))
	}
	for _, plan := range plans {
		if err := run(t, plan, disable); err != nil && strings.Contains(err.Error(), want) {
			return
		}
	}
	t.Fatalf("the oracle did not notice: %s", want)
}
