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
	testRouters     = 4
	propagationGoal = 5 * time.Second // within which an accepted change is in force on every reachable router
	testCases       = 150
)

// step is one action on the simulated fleet; each action uses the fields that it needs.
type step struct {
	Action string
	Router int
	Other  int
	Item   int
	Delay  time.Duration
}

// steps generates random histories. An action that occurs more than once is drawn more often.
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

// outcome is the final answer to an operator's command.
type outcome struct {
	id      string
	step    step
	version uint64
	err     error
}

// runHistory executes the steps in virtual time and returns the violations that the oracle
// found.
func runHistory(t *testing.T, history []step, disable func(c *Catalogue)) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(testRouters, disable)
		d := &driver{simulation: sim}
		for i, s := range history {
			d.step(i, s)
		}
		d.finish()
		sim.close()
		err = errors.Join(sim.violations...)
	})
	return err
}

// driver executes the steps of a history and checks the answers to operators.
type driver struct {
	*simulation
	operators  sync.WaitGroup
	outcomesMu sync.Mutex // guards outcomes
	outcomes   []outcome
}

func (d *driver) step(i int, s step) {
	n := d.nodes[s.Router]
	switch s.Action {
	case "set", "delete":
		d.sendWithRetries(fmt.Sprintf("c%d", i), s, s.Router)
	case "race":
		d.sendWithRetries(fmt.Sprintf("c%da", i), s, s.Router)
		d.sendWithRetries(fmt.Sprintf("c%db", i), s, s.Other)
	case "repeat": // the same command through two routers at once
		d.sendWithRetries(fmt.Sprintf("c%d", i), s, s.Router)
		d.sendWithRetries(fmt.Sprintf("c%d", i), s, s.Other)
	case "down":
		d.setLink(n, func(l *link) { l.down = true })
	case "slow":
		d.setLink(n, func(l *link) { l.delay = s.Delay })
	case "lose":
		d.setLink(n, func(l *link) { l.lostAnswers = 1 })
	case "late":
		d.setLink(n, func(l *link) { l.commitDelay = s.Delay })
	case "lag":
		d.setAnswerDelay(n, s.Delay/4)
	case "heal":
		d.setLink(n, func(l *link) { *l = link{} })
		d.setAnswerDelay(n, 0)
	case "cut", "join":
		d.setPartitioned(s.Router, s.Other, s.Action == "cut")
	case "restart":
		n.stop()
		d.start(s.Router)
	case "settle":
		d.checkConvergence()
	case "wait":
		time.Sleep(s.Delay)
	}
	time.Sleep(10 * time.Millisecond)
}

// sendWithRetries sends a command and retries it through other routers, at most 3 attempts
// in all, until its outcome is definite.
func (d *driver) sendWithRetries(id string, s step, router int) {
	d.operators.Go(func() {
		o := outcome{id: id, step: s}
		for try := range 3 {
			o.version, o.err = d.sendOnce(id, s, (router+try)%testRouters)
			if hasDefiniteOutcome(o.err) {
				break
			}
		}
		d.outcomesMu.Lock()
		defer d.outcomesMu.Unlock()
		d.outcomes = append(d.outcomes, o)
		if o.err == nil {
			d.mu.Lock()
			d.highestAccepted = max(d.highestAccepted, o.version)
			d.mu.Unlock()
		}
	})
}

// hasDefiniteOutcome reports whether the error shows that the command was accepted or
// finally refused.
func hasDefiniteOutcome(err error) bool {
	var raced *VersionConflictError
	var refused *CommandRefusedError
	return err == nil || errors.As(err, &raced) || errors.As(err, &refused)
}

// sendOnce sends the command to the router, based on the version that it reads from the table.
func (d *driver) sendOnce(id string, s step, router int) (uint64, error) {
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

// checkConvergence waits for propagationGoal and checks that every router that reaches the
// table, or a router that reaches it, has the highest accepted version.
func (d *driver) checkConvergence() {
	d.mu.Lock()
	accepted := d.highestAccepted
	reachesTable := make([]bool, testRouters)
	for i, n := range d.nodes {
		reachesTable[i] = !n.link.down && n.link.delay <= 500*time.Millisecond
	}
	d.mu.Unlock()
	time.Sleep(propagationGoal)
	for i, n := range d.nodes {
		mustConverge := reachesTable[i]
		for j := range d.nodes {
			mustConverge = mustConverge || (reachesTable[j] && !d.partitions[[2]int{min(i, j), max(i, j)}])
		}
		if version := n.cat.Current().Version(); mustConverge && version < accepted {
			d.addViolation("router %d is at version %d %v after %d was accepted", i, version, propagationGoal, accepted)
		}
	}
}

// finish removes all faults and checks the outcomes of all commands.
func (d *driver) finish() {
	d.operators.Wait()
	for _, n := range d.nodes {
		d.setLink(n, func(l *link) { *l = link{} })
	}
	d.mu.Lock()
	clear(d.partitions)
	d.mu.Unlock()
	time.Sleep(2 * time.Second) // delayed commits take effect
	for _, o := range d.outcomes {
		if !hasDefiniteOutcome(o.err) {
			o.version, o.err = d.sendOnce(o.id, o.step, 0)
		}
		d.checkOutcome(o)
	}
	d.checkConvergence()
}

func (d *driver) checkOutcome(o outcome) {
	d.mu.Lock()
	applied, timesApplied := d.applied, maps.Clone(d.timesApplied)
	d.mu.Unlock()
	var raced *VersionConflictError
	var refused *CommandRefusedError
	switch {
	case errors.As(o.err, &refused):
		if timesApplied[o.id] != 0 {
			d.addViolation("command %s was refused before but took effect", o.id)
		}
	case o.err == nil:
		if o.version == 0 || o.version > uint64(len(applied)) || applied[o.version-1].CommandID != o.id {
			d.addViolation("command %s was answered with version %d, which it did not create", o.id, o.version)
		}
	case errors.As(o.err, &raced):
		if timesApplied[o.id] != 0 {
			d.addViolation("command %s was refused but took effect", o.id)
		}
		if raced.Current <= raced.Base {
			d.addViolation("command %s lost a race at version %d to version %d", o.id, raced.Base, raced.Current)
		}
		if len(raced.Changes) > 0 && timesApplied[raced.Changes[0].CommandID] == 0 {
			d.addViolation("command %s was refused because of a change that is not in the table", o.id)
		}
	default:
		d.addViolation("command %s has no definite answer although the table is reachable: %w", o.id, o.err)
	}
}

func TestDirectedHistories(t *testing.T) {
	for _, history := range [][]step{concurrentRepeat, isolatedRouter()} {
		assert.NilError(t, runHistory(t, history, nil))
	}
}

func TestFleetKeepsConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := steps.Draw(rt, "steps")
		if err := runHistory(t, history, nil); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// Disables one mechanism at a time and checks that the oracle reports the violation.
func TestMechanismOff(t *testing.T) {
	hideRows := func(c *Catalogue, prefix string) {
		get := c.Get
		c.Get = func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if len(keys) == 1 && len(keys[0]) > len(prefix) && keys[0][:len(prefix)] == prefix {
				return nil, nil
			}
			return get(ctx, keys...)
		}
	}
	dropConditions := func(c *Catalogue, prefix string) {
		commit := c.Commit
		c.Commit = func(ctx context.Context, cm table.Commit) (uint64, error) {
			var remaining []table.Condition
			for _, cond := range cm.Conditions {
				if len(cond.Key) < len(prefix) || cond.Key[:len(prefix)] != prefix {
					remaining = append(remaining, cond)
				}
			}
			cm.Conditions = remaining
			return commit(ctx, cm)
		}
	}
	for _, tc := range []struct {
		name    string
		disable func(c *Catalogue)
		want    string
	}{
		{"lower versions replace higher ones", func(c *Catalogue) { c.isNewer = func(_, _ *Snapshot) bool { return true } }, "went back"},
		{"gaps in the log are ignored", func(c *Catalogue) { c.isSuccessor = func(_, _ uint64) bool { return true } }, "version"},
		{"the head is no condition", func(c *Catalogue) { dropConditions(c, headKey) }, "accepted twice"},
		{"an accepted command is not recognised", func(c *Catalogue) { hideRows(c, commandPrefix) }, "no definite answer"},
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
			hideRows(c, commandPrefix)
			dropConditions(c, commandPrefix)
		}, "took effect twice"},
		{"other routers are not asked", func(c *Catalogue) {
			c.QueryPeer = func(context.Context, string, inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
				return inner.ConfigurationResponse{}, errors.New("off")
			}
		}, "was accepted"},
		{"the table is not polled", func(c *Catalogue) { c.PollInterval = time.Hour }, "was accepted"},
	} {
		t.Run(tc.name, func(t *testing.T) { assertDetected(t, tc.disable, tc.want) })
	}
}

// concurrentRepeat sends one command through two routers while a commit of another change
// is in flight.
var concurrentRepeat = []step{
	{Action: "slow", Router: 1, Delay: 2 * time.Millisecond},
	{Action: "set", Router: 1, Delay: time.Millisecond},
	{Action: "repeat", Router: 0, Other: 1, Delay: time.Millisecond},
}

// isolatedRouter isolates router 3 until the change log has been compacted beyond its
// version.
func isolatedRouter() []step {
	history := []step{{Action: "set", Delay: 1}, {Action: "settle"}, {Action: "down", Router: 3}}
	for i := range testRouters - 1 {
		history = append(history, step{Action: "cut", Router: 3, Other: i})
	}
	for i := range 20 {
		history = append(history, step{Action: "set", Item: min(i, 1), Delay: time.Duration(i + 2)})
	}
	return append(history, step{Action: "heal", Router: 3}, step{Action: "settle"})
}

// assertDetected runs histories until the oracle reports a violation that contains want.
func assertDetected(t *testing.T, disable func(c *Catalogue), want string) {
	t.Helper()
	histories := [][]step{concurrentRepeat, isolatedRouter()}
	for seed := range 400 {
		histories = append(histories, steps.Example(seed))
	}
	for _, history := range histories {
		if err := runHistory(t, history, disable); err != nil && strings.Contains(err.Error(), want) {
			return
		}
	}
	t.Fatalf("the oracle did not report a violation that contains %q", want)
}
