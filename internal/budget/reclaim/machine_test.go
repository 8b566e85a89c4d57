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

// Defaults for rapid; the command line overrides them.
const (
	shards   = 4 // parallel subtests, each with ciChecks cases
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

// step is one event of a case. It affects the router at the slot; the meaning of the
// other arguments depends on op.
type step struct {
	op               int
	slot, arg1, arg2 int
}

// The events of a case. Values from opCount on are requests.
const (
	opWait              = iota // virtual time passes
	opToggleTable              // the table becomes unavailable or available again
	opToggleTableLink          // the link between a router and the table is cut or restored
	opTogglePeerLink           // the link between two routers is cut or restored
	opReplace                  // a router dies and a new incarnation starts at its address
	opToggleFreeze             // a router freezes or resumes
	opTopUp                    // tokens are added to a budget
	opLoseCommitAnswers        // the answers to the next commits are lost
	opDelayCommits             // the next commits are delayed
	opApplyDelayed             // a delayed commit is applied
	opSettle                   // all routers settle their bills
	opSettleAgain              // like opSettle, which doubles its probability
	opSuspect                  // a router suspects another and sweeps
	opSuspectAgain             // like opSuspect, which doubles its probability
	opLoseAcks                 // the acknowledgements of the next appends are lost
	opReturnFree               // a router returns its free tokens to a budget
	opToggleWitnesses          // a router stops or resumes finding witnesses
	opDelayMessages            // the messages of a router are delayed
	opCount
)

// requestOps is the number of op values that stand for requests.
const requestOps = 6

// generateSteps returns a generator of cases with the given events, or with all
// events if there are no arguments.
func generateSteps(ops ...int) *rapid.Generator[[]step] {
	if len(ops) == 0 {
		for op := range opCount + requestOps {
			ops = append(ops, op)
		}
	}
	oneStep := rapid.Custom(func(t *rapid.T) step {
		return step{
			op:   rapid.SampledFrom(ops).Draw(t, "op"),
			slot: rapid.IntRange(0, slots-1).Draw(t, "a"),
			arg1: rapid.IntRange(0, usageSteps-1).Draw(t, "b"),
			arg2: rapid.IntRange(0, 9).Draw(t, "c"),
		}
	})
	return rapid.SliceOfN(oneStep, 5, 40)
}

// TestBudgetsUnderFaults checks that no token is lost, billed twice or spent beyond
// the grant when routers, table and network fail at random.
func TestBudgetsUnderFaults(t *testing.T) {
	for shard := range shards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				steps := generateSteps(shardOps(shard)...).Draw(rt, "steps")
				if err := runSteps(t, mutation{}, steps); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// shardOps returns all events in a different order for each shard, so that the same
// seed generates different cases.
func shardOps(shard int) []int {
	var ops []int
	for i := range opCount + requestOps {
		ops = append(ops, (i*7+shard*5)%(opCount+requestOps))
	}
	return ops
}

// runSteps runs one case in virtual time, clears the faults and returns the first
// violation that the oracle detects.
func runSteps(t *testing.T, m mutation, steps []step) error {
	var err error
	synctest.Test(t, func(*testing.T) { err = newSimulation(m).runSteps(steps) })
	return err
}

func (sim *simulation) runSteps(steps []step) error {
	defer sim.shutdown()
	for i, s := range steps {
		sim.execute(s)
		synctest.Wait()
		if err := sim.check(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return sim.healAndCheck()
}

// execute performs one event.
func (sim *simulation) execute(s step) {
	n := sim.nodes[s.slot]
	other := sim.nodes[s.arg1%slots]
	switch s.op {
	default:
		worst := int64(20 * (s.arg2 + 1))
		used := worst * int64(s.arg1+1) / usageSteps
		go n.serve(sim.budgetOf(s.arg2), fmt.Sprint("key-", s.arg1%keyCount), worst, used, time.Duration(s.arg2)*300*time.Millisecond, s.arg2 == 3)
	case opWait:
		time.Sleep(time.Duration(1+s.arg1) * 100 * time.Millisecond)
	case opToggleTable:
		sim.locked(func() { sim.tableDown = !sim.tableDown })
	case opToggleTableLink:
		sim.locked(func() { n.cutFromTable = !n.cutFromTable })
	case opTogglePeerLink:
		sim.locked(func() { sim.cutLinks[pair(s.slot, other.slot)] = !sim.cutLinks[pair(s.slot, other.slot)] })
	case opReplace:
		sim.replace(n)
	case opToggleFreeze:
		sim.toggleFreeze(n)
	case opTopUp:
		sim.topUp(budgets[s.arg1%2], int64(50*(s.arg2+1)))
	case opLoseCommitAnswers:
		sim.locked(func() { n.loseCommitAnswers = 1 + s.arg2%3 })
	case opDelayCommits:
		sim.locked(func() { n.delayCommits = 1 + s.arg2%8 })
	case opApplyDelayed:
		sim.applyDelayed(s.arg2)
	case opSettle, opSettleAgain:
		for _, n := range sim.nodes {
			go func() { _ = n.manager.Settle(context.Background()) }()
		}
	case opSuspect, opSuspectAgain:
		sim.locked(func() { n.suspected[other.id] = true })
		go func() { _ = n.reclaimer.Sweep(context.Background()) }()
	case opLoseAcks:
		sim.locked(func() { n.loseAcks = 1 + s.arg2%3 })
	case opDelayMessages:
		sim.locked(func() { n.messageDelay = time.Duration(s.arg2) * 50 * time.Millisecond })
	case opReturnFree:
		go func() { _, _ = n.manager.ReturnFree(context.Background(), budgets[s.arg2%2]) }()
	case opToggleWitnesses:
		sim.locked(func() { n.witnessless = !n.witnessless })
	}
}

// locked calls change with mu held.
func (sim *simulation) locked(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// replace kills the router and starts a new incarnation at its address.
func (sim *simulation) replace(n *node) {
	sim.locked(func() {
		n.dead = true
		if n.resumed != nil {
			close(n.resumed)
			n.resumed = nil
		}
		sim.startNode(n.slot)
	})
}

func (sim *simulation) toggleFreeze(n *node) {
	sim.locked(func() {
		if n.resumed == nil {
			n.resumed = make(chan struct{})
			return
		}
		close(n.resumed)
		n.resumed = nil
	})
}

// applyDelayed applies one of the delayed commits.
func (sim *simulation) applyDelayed(i int) {
	sim.locked(func() {
		if len(sim.delayed) == 0 {
			return
		}
		i %= len(sim.delayed)
		c := sim.delayed[i]
		sim.delayed = append(sim.delayed[:i:i], sim.delayed[i+1:]...)
		_, _ = sim.store.Commit(c)
	})
}

// healAndCheck clears the faults, closes all managers and checks that every token is
// accounted for.
func (sim *simulation) healAndCheck() error {
	sim.clearFaults()
	for range 4 {
		sim.settleAll()
		for range len(sim.delayed) {
			sim.applyDelayed(0)
		}
	}
	if err := sim.check(); err != nil {
		return fmt.Errorf("after clearing the faults: %w", err)
	}
	for _, n := range sim.nodes {
		if err := n.manager.Close(context.Background()); err != nil {
			return fmt.Errorf("close manager: %w", err)
		}
	}
	return sim.checkEnd()
}

func (sim *simulation) clearFaults() {
	sim.locked(func() {
		sim.tableDown = false
		clear(sim.cutLinks)
		for _, n := range sim.nodes {
			n.cutFromTable, n.loseCommitAnswers, n.delayCommits, n.loseAcks, n.messageDelay = false, 0, 0, 0, 0
			if n.resumed != nil {
				close(n.resumed)
				n.resumed = nil
			}
			clear(n.suspected)
			for _, other := range sim.incarnations {
				n.suspected[other.id] = other.dead
			}
		}
	})
}

func (sim *simulation) settleAll() {
	time.Sleep(3 * time.Second)
	for _, n := range sim.nodes {
		_ = n.manager.Settle(context.Background())
		_ = n.reclaimer.Sweep(context.Background())
	}
	synctest.Wait()
}

// checkEnd checks that the only remaining holdings are those without a witness record, that
// each can be released exactly once, and that all tokens are then billed or available.
func (sim *simulation) checkEnd() error {
	excusedHolders := make(map[string]bool)
	state := sim.readLedger()
	inDoubt, err := sim.nodes[0].reclaimer.InDoubt(context.Background())
	if err != nil || len(inDoubt) != len(state.holdings) {
		return fmt.Errorf("%d of %d remaining holdings are reported in doubt: %w", len(inDoubt), len(state.holdings), err)
	}
	for _, h := range state.holdings {
		if !sim.isDead(h.Holder) || h.Closed || (h.Term.Witness != "" && !sim.isDead(h.Term.Witness)) {
			return fmt.Errorf("holding remains without a reason to be in doubt: %+v", h)
		}
		excusedHolders[h.Holder] = true
		for _, want := range []bool{true, false} {
			got, err := sim.nodes[0].ledger.ReleaseHolding(context.Background(), h.ID())
			if err != nil || got != want {
				return fmt.Errorf("release of %q: got %v, %w", h.ID(), got, err)
			}
		}
	}
	if err := sim.check(); err != nil {
		return fmt.Errorf("after releasing holdings in doubt: %w", err)
	}
	for _, id := range budgets {
		if row := sim.readLedger().budgets[id]; row.Drawn != 0 || row.Granted != sim.granted[id] {
			return fmt.Errorf("tokens unaccounted for: row %+v, %d granted", row, sim.granted[id])
		}
	}
	return sim.checkBills(excusedHolders)
}

// shutdown stops all routers and waits for the goroutines of the case to end.
func (sim *simulation) shutdown() {
	sim.locked(func() {
		for _, n := range sim.incarnations {
			n.dead = true
			if n.resumed != nil {
				close(n.resumed)
				n.resumed = nil
			}
		}
	})
	time.Sleep(time.Minute)
	synctest.Wait()
}
