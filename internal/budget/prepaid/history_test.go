package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/platform/table"
)

// step is one event of a random history.
type step struct {
	after       time.Duration
	kind        stepKind
	vm          string
	workspace   string
	tokens      int64
	billedShare float64
	duration    time.Duration
	fault       fault
	age         time.Duration // of the copy to which the store is rolled back
	group       []string      // VMs that are cut off together, or rejoin
}

type stepKind int

const (
	stepRequest stepKind = iota
	stepKill
	stepStart
	stepLeave
	stepFault
	stepFaultAll
	stepKillAll
	stepTopUp
	stepMirrorFault
	stepRollback
	stepCut
	stepCutOff
	stepRejoin
	stepCutOffTogether
	stepRejoinTogether
)

var vms = []string{"a", "b", "c"}

// drawHistory generates a history, mostly of requests.
func drawHistory(t *rapid.T) []step {
	kinds := []stepKind{
		stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest,
		stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest, stepRequest,
		stepKill, stepStart, stepStart, stepLeave, stepFault, stepFault, stepFaultAll, stepKillAll, stepTopUp, stepMirrorFault, stepRollback,
		stepCut, stepCutOff, stepRejoin,
	}
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			after:       time.Duration(rapid.IntRange(0, 700).Draw(t, "after_ms")) * time.Millisecond,
			kind:        rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:          rapid.SampledFrom(vms).Draw(t, "vm"),
			workspace:   rapid.SampledFrom([]string{"joiners", "nurses"}).Draw(t, "workspace"),
			tokens:      rapid.Int64Range(1, 400).Draw(t, "tokens"),
			billedShare: rapid.Float64Range(0, 1).Draw(t, "part"),
			duration:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "lasts_ms")) * time.Millisecond,
			age:         time.Duration(rapid.IntRange(0, 9000).Draw(t, "age_ms")) * time.Millisecond,
			fault:       fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")),
		}
	})
	return rapid.SliceOfN(one, 20, 160).Draw(t, "steps")
}

// runHistory runs a history in virtual time and returns the overspending that the oracle
// found.
func runHistory(t *testing.T, history []step, mutate func(m *Manager)) error {
	t.Helper()
	return runHistoryOf(t, vms, history, mutate)
}

// runHistoryOf runs a history of the given VMs.
func runHistoryOf(t *testing.T, vmNames []string, history []step, mutate func(m *Manager)) error {
	t.Helper()
	var violation error
	synctest.Test(t, func(*testing.T) {
		f := newTestFleet()
		f.names = vmNames
		if len(vmNames) > len(vms) {
			f.homes = vmNames
		}
		f.mutate = mutate
		f.topUp("joiners", 1000)
		f.topUp("nurses", 3000)
		for _, vm := range vmNames {
			f.start(vm)
		}
		for _, s := range history {
			time.Sleep(s.after)
			f.runStep(s)
		}
		f.end()
		violation = f.result()
	})
	return violation
}

func (f *testFleet) runStep(s step) {
	switch s.kind {
	case stepRequest:
		f.request(s.vm, s.workspace, s.tokens, s.billedShare, s.duration)
	case stepKill:
		f.kill(s.vm)
	case stepStart:
		if f.incarnationOf(s.vm) == nil {
			f.start(s.vm)
		}
	case stepLeave:
		f.leave(s.vm)
	case stepFault:
		f.store.setFault(s.vm, s.fault)
	case stepFaultAll:
		for _, vm := range f.names {
			f.store.setFault(vm, s.fault)
		}
	case stepKillAll:
		for _, vm := range f.names {
			f.kill(vm)
		}
		time.Sleep(s.duration)
		for _, vm := range f.names {
			f.start(vm)
		}
	case stepTopUp:
		f.topUp(s.workspace, s.tokens)
	case stepRollback:
		f.store.rollBack(s.age)
	case stepMirrorFault:
		f.setMirrorFault(s.vm, s.fault)
	case stepCutOffTogether:
		f.cutOffTogether(s.group...)
	case stepRejoinTogether:
		f.rejoin(s.group...)
	case stepCut:
		f.setCut(s.vm, true)
	case stepCutOff:
		f.setCut(s.vm, true)
		f.store.setFault(s.vm, unreachable)
	case stepRejoin:
		f.setCut(s.vm, false)
		f.store.setFault(s.vm, noFault)
	}
}

func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runHistory(t, drawHistory(rt), nil); err != nil {
			rt.Fatal(err)
		}
	})
}

var fiveVMs = []string{"a", "b", "c", "d", "e"}

// drawLargerHistory generates a history of five VMs, of which any number are lost, or cut off together.
func drawLargerHistory(t *rapid.T) []step {
	history := drawHistory(t)
	for n := range history {
		history[n].vm = rapid.SampledFrom(fiveVMs).Draw(t, "vm")
		if rapid.IntRange(0, 15).Draw(t, "kind") == 0 {
			history[n].kind = rapid.SampledFrom([]stepKind{stepCutOffTogether, stepRejoinTogether, stepKill, stepStart}).Draw(t, "kind")
			history[n].after = time.Duration(rapid.IntRange(0, 15).Draw(t, "after_s")) * time.Second
			history[n].group = rapid.SliceOfNDistinct(rapid.SampledFrom(fiveVMs), 1, 4, rapid.ID).Draw(t, "group")
		}
	}
	return history
}

// TestNeverOverspentInALargerFleet plays losses and partitions in a fleet in which two VMs must be fenced before a third
// one is reclaimed.
func TestNeverOverspentInALargerFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runHistoryOf(t, fiveVMs, drawLargerHistory(rt), nil); err != nil {
			rt.Fatal(err)
		}
	})
}

// requestsOf returns n requests of one VM, one per interval.
func requestsOf(n int, vm string, tokens int64, billedShare float64, interval time.Duration) []step {
	out := make([]step, n)
	for i := range out {
		out[i] = step{after: interval, kind: stepRequest, vm: vm, workspace: "joiners", tokens: tokens, billedShare: billedShare, duration: interval / 2}
	}
	return out
}

// spentInOutage is a history in which an incarnation continues through a long store outage and is
// killed, and its successor reaches the store.
var spentInOutage = slices.Concat(
	requestsOf(10, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepFault, vm: "a", fault: unreachable}},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepKill, vm: "a"}, {kind: stepFault, vm: "a", fault: noFault}, {kind: stepStart, vm: "a", after: time.Second}},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
)

// TestOracleCatchesBreaks checks that each mechanism is necessary: without it, some history
// overspends.
func TestOracleCatchesBreaks(t *testing.T) {
	mutations := []struct {
		name    string
		apply   func(m *Manager)
		history []step // random ones if nil
	}{
		{name: "a draw is committed without its conditions", apply: dropConditions},
		{name: "the next life does not count what was used in a cut", apply: stopStoreClock, history: spentInOutage},
		{name: "the next life does not read the journal", apply: clearJournal},
		{name: "a gift is taken twice", apply: doubleTransfers},
		{name: "the mirror's clock stands still", apply: stopMirrorClock, history: spentWithoutMirror},
		{name: "an old note of the mirror counts", apply: keepFirstNote, history: spentInOutage},
		{name: "the store's era is left out", apply: hideEra, history: spentBeforeRollback},
		{name: "nothing is restored", apply: discardRowsToRestore, history: spentByOne},
		{name: "nobody is waited for", apply: awaitNobody, history: spentElsewhere},
		{name: "a life that ended before the return is forgotten", apply: awaitOnlyRunning, history: endedBeforeRollback},
		{name: "reclaimers keep no replicas", apply: ignoreReplicas, history: reclaimedWhileCutOff},
		{name: "unknown draws are forgotten", apply: forgetPrior, history: endedAfterCopy},
		{name: "replicas are forgotten", apply: forgetReplicas, history: lostWithReplicas},
		{name: "a life that ended counts as one that keeps a replica", apply: trustLaterIncarnations, history: reclaimersRestarted},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			if m.history == nil {
				assertOverspends(t, m.apply)
				return
			}
			assert.NilError(t, runHistory(t, m.history, nil))
			assert.ErrorContains(t, runHistory(t, m.history, m.apply), "has used")
		})
	}
}

// spentWithoutMirror is a history in which an incarnation loses the store and its mirror,
// continues for a long time and is killed, and its successor reaches both.
var spentWithoutMirror = slices.Concat(
	requestsOf(10, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepFault, vm: "a", fault: unreachable}, {kind: stepMirrorFault, vm: "a", fault: unreachable}},
	requestsOf(200, "a", 20, 1, 100*time.Millisecond),
	[]step{
		{kind: stepKill, vm: "a"},
		// A note that is on its way when the incarnation is killed does not arrive.
		{kind: stepFault, vm: "a", fault: noFault, after: 10 * time.Millisecond},
		{kind: stepMirrorFault, vm: "a", fault: noFault},
		{kind: stepStart, vm: "a", after: time.Second},
	},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
)

// spentBeforeRollback is a history in which an incarnation has drawn and used most of a total
// when the store is rolled back to a copy without that, and another incarnation starts then and
// finds tokens that look free.
var spentBeforeRollback = slices.Concat(
	[]step{{kind: stepKill, vm: "b"}},
	requestsOf(40, "a", 20, 1, 50*time.Millisecond),
	[]step{{kind: stepRollback, age: 3 * time.Second}, {kind: stepStart, vm: "b"}},
	requestsOf(40, "a", 20, 1, 50*time.Millisecond),
	requestsOf(40, "b", 20, 1, 50*time.Millisecond),
)

// spentByOne is a history in which an incarnation has used most of a total when the store is
// rolled back, and other incarnations run at that time.
var spentByOne = slices.Concat(
	requestsOf(40, "a", 20, 1, 50*time.Millisecond),
	[]step{{kind: stepRollback, age: 3 * time.Second}},
	requestsOf(100, "b", 20, 1, 50*time.Millisecond),
)

// spentElsewhere is a history in which an incarnation has used most of a total, and another one
// observes the store's rollback first.
var spentElsewhere = slices.Concat(
	requestsOf(40, "b", 20, 1, 50*time.Millisecond),
	[]step{{kind: stepFault, vm: "b", fault: unreachable}, {kind: stepRollback, age: 3 * time.Second}},
	requestsOf(60, "a", 20, 1, 50*time.Millisecond),
)

// endedBeforeRollback is a history in which an incarnation has used most of a total and has ended
// when the store is rolled back.
var endedBeforeRollback = slices.Concat(
	requestsOf(40, "a", 20, 1, 50*time.Millisecond),
	[]step{{kind: stepKill, vm: "a"}, {kind: stepRollback, age: 3 * time.Second}},
	requestsOf(100, "b", 20, 1, 50*time.Millisecond),
)

// reclaimedWhileCutOff is a history in which an incarnation that has drawn most of a total is cut off
// from all others and goes on, and another one reclaims its holding.
var reclaimedWhileCutOff = slices.Concat(
	requestsOf(1, "a", 900, 0, 100*time.Millisecond),
	requestsOf(10, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepCutOff, vm: "a"}},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
	requestsOf(100, "b", 20, 1, 100*time.Millisecond),
)

// lostWithReplicas is a history in which an incarnation that has drawn most of a total goes on
// without the store, with the consent of the others, and is lost.
var lostWithReplicas = slices.Concat(
	requestsOf(1, "a", 900, 0, 100*time.Millisecond),
	requestsOf(10, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepFault, vm: "a", fault: unreachable}},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepKill, vm: "a"}},
	requestsOf(200, "b", 20, 1, 100*time.Millisecond),
)

// reclaimersRestarted is a history in which an incarnation that is cut off is reclaimed by others that then
// restart, and reaches these again, but not the store.
var reclaimersRestarted = slices.Concat(
	requestsOf(1, "a", 900, 0, 100*time.Millisecond),
	requestsOf(10, "a", 20, 1, 100*time.Millisecond),
	[]step{{kind: stepCut, vm: "a"}, {kind: stepFault, vm: "a", fault: unreachable}},
	requestsOf(150, "b", 20, 1, 100*time.Millisecond),
	[]step{
		{kind: stepKill, vm: "b"}, {kind: stepKill, vm: "c"}, {kind: stepStart, vm: "b", after: 5 * time.Second}, {kind: stepStart, vm: "c"},
		{kind: stepRejoin, vm: "a", after: time.Second}, {kind: stepFault, vm: "a", fault: unreachable},
	},
	requestsOf(100, "a", 20, 1, 100*time.Millisecond),
)

// trustLaterIncarnations makes an incarnation take the word of any incarnation for that of the one asked.
func trustLaterIncarnations(m *Manager) {
	send := m.SendReplica
	m.SendReplica = func(ctx context.Context, reclaimer string, r BoundsReplica) (ReplicaAck, error) {
		ack, err := send(ctx, reclaimer, r)
		ack.Responder = reclaimer
		return ack, err
	}
}

// hideEra makes all answers of the store appear to be of one era.
func hideEra(m *Manager) {
	commit, read := m.Commit, m.Read
	m.Commit = func(ctx context.Context, c table.Commit) (table.Stamp, error) {
		stamp, err := commit(ctx, c)
		stamp.Era = 0
		return stamp, err
	}
	m.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		page, err := read(ctx, r)
		page.Era = 0
		return page, err
	}
}

// discardRowsToRestore makes an incarnation use the rows in a rolled-back store.
func discardRowsToRestore(m *Manager) {
	m.OnEvent = func(e Event) {
		if e.Kind != StoreRolledBack {
			return
		}
		for _, h := range m.allHoldings() {
			h.mu.Lock()
			h.rowToRestore = nil
			h.mu.Unlock()
		}
	}
}

func awaitNobody(m *Manager) { m.RecentIncarnations = nil }

// awaitOnlyRunning omits incarnations that have recently ended.
func awaitOnlyRunning(m *Manager) {
	recentIncarnations := m.RecentIncarnations
	m.RecentIncarnations = func() []string {
		m.coverage.mu.Lock()
		m.coverage.lastSeen = nil
		m.coverage.mu.Unlock()
		return slices.DeleteFunc(recentIncarnations(), func(incarnation string) bool { return !m.IsStaying(incarnation) })
	}
}

// stopMirrorClock makes each copy of a mirror appear to be new.
func stopMirrorClock(m *Manager) {
	fetchNote := m.FetchNote
	m.FetchNote = func(ctx context.Context, addr, incarnation string) (RecalledNote, error) {
		r, err := fetchNote(ctx, addr, incarnation)
		r.Age = 0
		return r, err
	}
}

// keepFirstNote makes a mirror keep the bounds of the first note that it received.
func keepFirstNote(m *Manager) {
	sendNote := m.SendNote
	first := make(map[string]map[string]Bound)
	var mu sync.Mutex
	m.SendNote = func(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
		mu.Lock()
		if kept, ok := first[addr]; ok && note.Bounds != nil {
			note.Bounds = kept
		} else if note.Bounds != nil {
			first[addr] = maps.Clone(note.Bounds)
		}
		mu.Unlock()
		return sendNote(ctx, addr, note)
	}
}

func dropConditions(m *Manager) {
	commit := m.Commit
	m.Commit = func(ctx context.Context, c table.Commit) (table.Stamp, error) {
		if c.Puts[0].Table == tableTokens {
			c.Conditions = nil
		}
		return commit(ctx, c)
	}
}

func doubleTransfers(m *Manager) {
	requestTransfer := m.RequestTransfer
	m.RequestTransfer = func(ctx context.Context, addr, workspace string, n int64) (Transfer, error) {
		transfer, err := requestTransfer(ctx, addr, workspace, n)
		// More than was requested would be refused.
		m.acceptTransfer(m.holding(workspace), transfer.Tokens)
		return transfer, err
	}
}

// stopStoreClock makes the store's clock appear not to have advanced since the last write.
func stopStoreClock(m *Manager) {
	read := m.Read
	m.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		page, err := read(ctx, r)
		if r.Table == tableJournal {
			page.Clock = time.Millisecond
		}
		return page, err
	}
}

// clearJournal removes the bounds of the previous incarnation.
func clearJournal(m *Manager) {
	read := m.Read
	m.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		page, err := read(ctx, r)
		if r.Table == tableJournal {
			for i, row := range page.Rows {
				page.Rows[i].Value = []byte(`{"life":"` + incarnationID(row) + `"}`)
			}
		}
		return page, err
	}
}

func incarnationID(r table.Row) string {
	var row journalRow
	if err := r.Decode(&row); err != nil {
		return ""
	}
	return row.Incarnation
}

// assertOverspends runs random histories until one overspends.
func assertOverspends(t *testing.T, mutate func(m *Manager)) {
	t.Helper()
	const attempts = 2000
	gen := rapid.Custom(drawHistory)
	for seed := range attempts {
		if runHistory(t, gen.Example(seed), mutate) != nil {
			return
		}
	}
	t.Fatalf("no history of %d overspends", attempts)
}
