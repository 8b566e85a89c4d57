package reclaim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// The checks of each shard and the seed of CI; the command line overrides them.
const (
	shards   = 4
	ciChecks = "2500"
	ciSeed   = "4"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": ciChecks, "rapid.seed": ciSeed} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one event of a case.
type step struct {
	op      int
	a, b, c int
}

// The events of a case. Numbers from opCount on are requests.
const (
	opWait         = iota // time passes
	opTable               // the table goes down or comes back
	opCutTable            // a router is cut off from the table, or joined
	opCutPeers            // two routers are cut off from each other, or joined
	opKill                // a router dies and another takes its address
	opFreeze              // a router stops or goes on
	opTopUp               // a budget gets tokens
	opLoseAnswers         // answers of commits are lost
	opDelayCommits        // commits take effect later
	opLandCommit          // a delayed commit takes effect
	opSettle              // all routers settle
	opSettleMore          // the same, to make it twice as likely
	opSuspect             // a router takes another for dead and sweeps
	opSuspectMore         // the same, to make it twice as likely
	opLoseAcks            // acknowledgements are lost
	opReturnFree          // a router returns free tokens
	opNoWitness           // a router finds no witness, or finds one again
	opSlowTable           // the table is slow for a router
	opCount
)

// opRequests is how many numbers stand for requests.
const opRequests = 6

// script draws cases of the given events, or of all.
func script(ops ...int) *rapid.Generator[[]step] {
	if len(ops) == 0 {
		for op := range opCount + opRequests {
			ops = append(ops, op)
		}
	}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			op: rapid.SampledFrom(ops).Draw(t, "op"),
			a:  rapid.IntRange(0, slots-1).Draw(t, "a"),
			b:  rapid.IntRange(0, shares-1).Draw(t, "b"),
			c:  rapid.IntRange(0, 9).Draw(t, "c"),
		}
	})
	return rapid.SliceOfN(one, 5, 40)
}

// TestBudgetsUnderFaults drives random faults over the real ledgers, purses, books and reclaimers.
func TestBudgetsUnderFaults(t *testing.T) {
	for shard := range shards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				steps := script(shardOps(shard)...).Draw(rt, "steps")
				if err := play(t, broken{}, steps); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// shardOps returns all events in another order for each shard, so that the same
// seed gives other cases.
func shardOps(shard int) []int {
	var ops []int
	for i := range opCount + opRequests {
		ops = append(ops, (i*7+shard*5)%(opCount+opRequests))
	}
	return ops
}

// play runs the steps in virtual time, heals all faults, and returns what the oracle found.
func play(t *testing.T, b broken, steps []step) error {
	var err error
	synctest.Test(t, func(*testing.T) { err = newWorld(b).play(steps) })
	return err
}

func (w *world) play(steps []step) error {
	defer w.end()
	for i, s := range steps {
		w.do(s)
		synctest.Wait()
		if err := w.check(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return w.heal()
}

// do carries out one event.
func (w *world) do(s step) {
	n := w.nodes[s.a]
	other := w.nodes[s.b%slots]
	switch s.op {
	default:
		worst := int64(20 * (s.c + 1))
		used := worst * int64(s.b+1) / shares
		go n.serve(w.budgetOf(s.c), fmt.Sprint("key-", s.b%keyCount), worst, used, time.Duration(s.c)*300*time.Millisecond, s.c == 3)
	case opWait:
		time.Sleep(time.Duration(1+s.b) * 100 * time.Millisecond)
	case opTable:
		w.set(func() { w.tableDown = !w.tableDown })
	case opCutTable:
		w.set(func() { n.tableCut = !n.tableCut })
	case opCutPeers:
		w.set(func() { w.cuts[pair(s.a, other.slot)] = !w.cuts[pair(s.a, other.slot)] })
	case opKill:
		w.kill(n)
	case opFreeze:
		w.toggleFreeze(n)
	case opTopUp:
		w.topUp(budgets[s.b%2], int64(50*(s.c+1)))
	case opLoseAnswers:
		w.set(func() { n.lose = 1 + s.c%3 })
	case opDelayCommits:
		w.set(func() { n.delay = 1 + s.c%8 })
	case opLandCommit:
		w.land(s.c)
	case opSettle, opSettleMore:
		for _, n := range w.nodes {
			go func() { _ = n.purse.Settle(context.Background()) }()
		}
	case opSuspect, opSuspectMore:
		w.set(func() { n.suspected[other.id] = true })
		go func() { _ = n.reclaimer.Sweep(context.Background()) }()
	case opLoseAcks:
		w.set(func() { n.loseAcks = 1 + s.c%3 })
	case opSlowTable:
		w.set(func() { n.slow = time.Duration(s.c) * 50 * time.Millisecond })
	case opReturnFree:
		go func() { _, _ = n.purse.ReturnFree(context.Background(), budgets[s.c%2]) }()
	case opNoWitness:
		w.set(func() { n.alone = !n.alone })
	}
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// kill ends the router for good; a new incarnation takes its address.
func (w *world) kill(n *node) {
	w.set(func() {
		n.dead = true
		if n.thaw != nil {
			close(n.thaw)
			n.thaw = nil
		}
		w.start(n.slot)
	})
}

func (w *world) toggleFreeze(n *node) {
	w.set(func() {
		if n.thaw == nil {
			n.thaw = make(chan struct{})
			return
		}
		close(n.thaw)
		n.thaw = nil
	})
}

// land lets one of the delayed commits take effect now.
func (w *world) land(i int) {
	w.set(func() {
		if len(w.delayed) == 0 {
			return
		}
		i %= len(w.delayed)
		c := w.delayed[i]
		w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
		_, _ = w.store.Commit(c)
	})
}

// heal ends all faults and checks that every token is accounted for.
func (w *world) heal() error {
	w.clear()
	for range 4 {
		w.settleAll()
		for range len(w.delayed) {
			w.land(0)
		}
	}
	if err := w.check(); err != nil {
		return fmt.Errorf("healed: %w", err)
	}
	for _, n := range w.nodes {
		if err := n.purse.Close(context.Background()); err != nil {
			return fmt.Errorf("close purse: %w", err)
		}
	}
	return w.checkEnd()
}

func (w *world) clear() {
	w.set(func() {
		w.tableDown = false
		clear(w.cuts)
		for _, n := range w.nodes {
			n.tableCut, n.lose, n.delay, n.loseAcks, n.slow = false, 0, 0, 0, 0
			if n.thaw != nil {
				close(n.thaw)
				n.thaw = nil
			}
			clear(n.suspected)
			for _, other := range w.all {
				n.suspected[other.id] = other.dead
			}
		}
	})
}

func (w *world) settleAll() {
	time.Sleep(3 * time.Second)
	for _, n := range w.nodes {
		_ = n.purse.Settle(context.Background())
		_ = n.reclaimer.Sweep(context.Background())
	}
	synctest.Wait()
}

// checkEnd checks that only holdings without evidence are left, that they can be
// released once, and that all tokens are then billed or available.
func (w *world) checkEnd() error {
	excused := make(map[string]bool)
	a := w.accounts()
	doubts, err := w.nodes[0].reclaimer.Doubts(context.Background())
	if err != nil || len(doubts) != len(a.holdings) {
		return fmt.Errorf("%d of %d holdings are listed in doubt: %w", len(doubts), len(a.holdings), err)
	}
	for _, h := range a.holdings {
		if !w.isDead(h.Holder) || h.Closed || (h.Term.Witness != "" && !w.isDead(h.Term.Witness)) {
			return fmt.Errorf("holding is left: %+v", h)
		}
		excused[h.Holder] = true
		for _, want := range []bool{true, false} {
			got, err := w.nodes[0].ledger.ReleaseHolding(context.Background(), h.ID())
			if err != nil || got != want {
				return fmt.Errorf("release of %q: got %v, %w", h.ID(), got, err)
			}
		}
	}
	if err := w.check(); err != nil {
		return fmt.Errorf("released: %w", err)
	}
	for _, id := range budgets {
		if row := w.accounts().budgets[id]; row.Allotted != 0 || row.Granted != w.granted[id] {
			return fmt.Errorf("tokens are missing: %+v of %d granted", row, w.granted[id])
		}
	}
	return w.checkBills(excused)
}

// end stops all routers so that nothing of the case goes on.
func (w *world) end() {
	w.set(func() {
		for _, n := range w.all {
			n.dead = true
			if n.thaw != nil {
				close(n.thaw)
				n.thaw = nil
			}
		}
	})
	time.Sleep(time.Minute)
	synctest.Wait()
}
