package prepaid

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/platform/table"
)

// fault is how the store, or a mirror, treats calls.
type fault int

const (
	noFault           fault = iota
	unreachable             // no answer and no effect
	refusing                // refused without effect
	losingAnswers           // commits take effect, their answers are lost
	delayed                 // commits take effect seconds later if their conditions still hold
	slow                    // calls take 1.2 s
	faultCount              // the number of faults
	commitTime        = 12 * time.Millisecond
	slowCallTime      = 1200 * time.Millisecond
	delayedCommitTime = 3 * time.Second
	callDrainTime     = 10 * time.Second
)

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	startedAt time.Time

	mu        sync.Mutex // guards the fields below
	rows      map[table.Location]table.Row
	version   uint64
	era       uint64
	snapshots []snapshot
	faults    map[string]fault // by VM
}

// snapshot is the content of the store at a time.
type snapshot struct {
	at      time.Time
	rows    map[table.Location]table.Row
	version uint64
}

// hasStartedFleet reports whether a router had found the store before the snapshot was taken.
func (s snapshot) hasStartedFleet() bool {
	for place := range s.rows {
		if strings.HasPrefix(place.Key, prefixRestored) {
			return true
		}
	}
	return false
}

func newFakeStore() *fakeStore {
	return &fakeStore{startedAt: time.Now(), rows: make(map[table.Location]table.Row), faults: make(map[string]fault)}
}

func (s *fakeStore) setFault(vm string, to fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[vm] = to
}

func (s *fakeStore) faultOf(vm string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[vm]
}

func (s *fakeStore) stamp() table.Stamp {
	return table.Stamp{Era: s.era, Version: s.version, Clock: time.Since(s.startedAt) + time.Hour}
}

// apply performs the commit if its conditions hold.
func (s *fakeStore) apply(c table.Commit) (table.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []table.Row
	failed := false
	for _, cond := range c.Conditions {
		r, ok := s.rows[cond.Location]
		if ok {
			current = append(current, r)
		}
		failed = failed || r.Version != cond.Version
	}
	if failed {
		return s.stamp(), &table.ConflictError{Rows: current}
	}
	s.snapshots = append(s.snapshots, snapshot{at: time.Now(), rows: maps.Clone(s.rows), version: s.version})
	s.version++
	for _, p := range c.Puts {
		if p.Delete {
			delete(s.rows, p.Location)
			continue
		}
		s.rows[p.Location] = table.Row{Location: p.Location, Version: s.version, Value: p.Value}
	}
	return s.stamp(), nil
}

func (s *fakeStore) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eraFor returns the era that the store's answers to a VM contain; 0 if the store does not
// answer it.
func (s *fakeStore) eraFor(vm string) uint64 {
	if s.faultOf(vm) == unreachable {
		return 0
	}
	return s.currentEra()
}

// rollBack sets the store to a snapshot of the given age, in a new era.
func (s *fakeStore) rollBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	target := time.Now().Add(-age)
	n, _ := slices.BinarySearchFunc(s.snapshots, target, func(c snapshot, at time.Time) int { return c.at.Compare(at) })
	// A snapshot from before the fleet's first start cannot be distinguished from that start.
	for n < len(s.snapshots) && !s.snapshots[n].hasStartedFleet() {
		n++
	}
	if n == len(s.snapshots) {
		return
	}
	s.rows, s.version = maps.Clone(s.snapshots[n].rows), s.snapshots[n].version
	s.snapshots = s.snapshots[:n]
}

func (s *fakeStore) commit(ctx context.Context, vm string, c table.Commit) (table.Stamp, error) {
	unknown := fmt.Errorf("commit: %w", table.ErrUnknownOutcome)
	switch s.faultOf(vm) {
	case unreachable:
		<-ctx.Done()
		return table.Stamp{}, unknown
	case refusing:
		return table.Stamp{Era: s.currentEra()}, table.ErrUnavailable
	case losingAnswers:
		_, _ = s.apply(c)
		<-ctx.Done()
		return table.Stamp{}, unknown
	case delayed:
		time.AfterFunc(delayedCommitTime, func() { _, _ = s.apply(c) })
		<-ctx.Done()
		return table.Stamp{}, unknown
	case slow:
		time.Sleep(slowCallTime)
	default:
		time.Sleep(commitTime)
	}
	return s.apply(c)
}

func (s *fakeStore) read(ctx context.Context, vm string, r table.Range) (table.Page, error) {
	switch s.faultOf(vm) {
	case unreachable:
		<-ctx.Done()
		return table.Page{}, table.ErrUnavailable
	case refusing:
		return table.Page{}, table.ErrUnavailable
	case slow:
		time.Sleep(slowCallTime)
	default:
		time.Sleep(commitTime / 3)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := table.Page{Stamp: s.stamp()}
	for at, row := range s.rows {
		if at.Table == r.Table && at.Partition == r.Partition && at.Key >= r.From && (r.To == "" || at.Key < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// testFleet is a fleet of VMs with one store, and the oracle that counts the tokens used.
type testFleet struct {
	store *fakeStore
	// mutate changes an instance before it starts, to show that the oracle notices.
	mutate func(p *Manager)

	mu            sync.Mutex // guards the fields below
	totals        map[string]int64
	used          map[string]int64 // billed, or reserved and not finished
	instances     map[string]*testInstance
	endedAt       map[string]time.Time // when instances ended, by ID
	instanceCount int
	violation     error
	// mirrorFaults is how calls to mirrors by a VM are treated: noFault, unreachable,
	// losingAnswers or delayed.
	mirrorFaults map[string]fault
	// peerRoundTrip is the network round trip of a transfer request.
	peerRoundTrip time.Duration
}

// testInstance is one running process.
type testInstance struct {
	ledger *Manager
	stop   context.CancelFunc
	killed bool
	// configuredTotal is the total of each workspace by the configuration of this instance.
	configuredTotal map[string]int64
}

func newTestFleet() *testFleet {
	return &testFleet{
		store:        newFakeStore(),
		totals:       make(map[string]int64),
		used:         make(map[string]int64),
		instances:    make(map[string]*testInstance),
		endedAt:      make(map[string]time.Time),
		mirrorFaults: make(map[string]fault),

		peerRoundTrip: time.Millisecond,
	}
}

// start starts a new instance of the VM.
func (f *testFleet) start(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceCount++
	ctx, stop := context.WithCancel(context.Background())
	inst := &testInstance{stop: stop, configuredTotal: make(map[string]int64)}
	for workspace, n := range f.totals {
		inst.configuredTotal[workspace] = n
	}
	inst.ledger = &Manager{
		VM:          vm,
		Incarnation: NewIncarnationID(vm, strconv.Itoa(f.instanceCount)),
		Commit: func(ctx context.Context, c table.Commit) (table.Stamp, error) {
			if f.isKilled(inst) {
				<-ctx.Done()
				return table.Stamp{}, table.ErrUnknownOutcome
			}
			return f.store.commit(ctx, vm, c)
		},
		Read: func(ctx context.Context, r table.Range) (table.Page, error) {
			if f.isKilled(inst) {
				<-ctx.Done()
				return table.Page{}, table.ErrUnavailable
			}
			return f.store.read(ctx, vm, r)
		},
		PrepaidTotal: func(workspace string) int64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return inst.configuredTotal[workspace]
		},
		DrawSize:           demand.SizeByShare(func() int { return 3 }),
		HomeRouters:        func(string) ([]string, bool) { return f.holders(vm) },
		IsAlive:            f.isRunning,
		RecentIncarnations: f.recent,
		ChooseMirror:       func(current, avoid string) string { return f.pickMirror(vm, current, avoid) },
		SendNote: func(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
			if f.isKilled(inst) {
				return MirrorResponse{}, errUnknownCause
			}
			return f.tellMirror(ctx, addr, note)
		},
		FetchNote: func(ctx context.Context, addr, instance string) (RecalledNote, error) {
			return f.recall(ctx, vm, addr, instance)
		},
		Clock:           func() time.Duration { return time.Since(f.store.startedAt) + time.Minute },
		FetchNoteFrom:   func(ctx context.Context, instance string) (RecalledNote, error) { return f.askLife(ctx, vm, instance) },
		RequestTransfer: f.ask,
		SendDrawHint: func(addr, workspace string) {
			if inst := f.instanceOf(addr); inst != nil {
				go inst.ledger.DrawOnHint(workspace)
			}
		},
		OfferTransfer: func(_ context.Context, addr, workspace string, n int64) bool { return f.offer(addr, workspace, n) },
	}
	if f.mutate != nil {
		f.mutate(inst.ledger)
	}
	f.instances[vm] = inst
	go func() { _ = inst.ledger.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, time.Second)
			inst.ledger.ReleaseIdle(ctx)
			// In production, the followers of the platform's tables report the era.
			inst.ledger.ObserveEra(table.Stamp{Era: f.store.eraFor(vm)})
		}
	}()
}

// kill ends the VM's instance; the tokens that it has reserved may have been used.
func (f *testFleet) kill(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if inst := f.instances[vm]; inst != nil {
		inst.killed = true
		inst.stop()
		delete(f.instances, vm)
		f.endedAt[inst.ledger.Incarnation] = time.Now()
	}
}

// recent returns the instances that run, or ran within the maximum age of a copy.
func (f *testFleet) recent() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, inst := range f.instances {
		out = append(out, inst.ledger.Incarnation)
	}
	for instance, at := range f.endedAt {
		if time.Since(at) < maxCopyAge {
			out = append(out, instance)
		}
	}
	return out
}

func (f *testFleet) instanceOf(vm string) *testInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[vm]
}

// isRunning reports whether an instance runs.
func (f *testFleet) isRunning(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.instances {
		if inst.ledger.Incarnation == name {
			return true
		}
	}
	return false
}

// holders returns the VMs that hold tokens other than the one that asks.
func (f *testFleet) holders(vm string) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, other := range []string{"a", "b"} {
		if other != vm && f.instances[other] != nil {
			out = append(out, other)
		}
	}
	return out, vm != "c"
}

func (f *testFleet) ask(ctx context.Context, addr, workspace string, n int64) (Transfer, error) {
	sleep(ctx, f.peerRoundTrip/2)
	inst := f.instanceOf(addr)
	if inst == nil || ctx.Err() != nil {
		return Transfer{}, errUnknownCause
	}
	gift := inst.ledger.SendTransfer(context.WithoutCancel(ctx), workspace, n)
	sleep(ctx, f.peerRoundTrip/2)
	if f.isKilled(inst) || ctx.Err() != nil {
		return Transfer{}, errUnknownCause
	}
	return gift, nil
}

// pickMirror returns the current mirror if it runs, or another VM.
func (f *testFleet) pickMirror(vm, current, avoid string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, candidate := range append([]string{current}, vms...) {
		if candidate != vm && candidate != avoid && f.instances[candidate] != nil {
			return candidate
		}
	}
	return ""
}

// tellMirror delivers a note. Depending on the fault, it is kept though its answer is lost, or
// kept late.
func (f *testFleet) tellMirror(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
	time.Sleep(time.Millisecond)
	keep := func() (MirrorResponse, error) {
		inst := f.instanceOf(addr)
		if inst == nil {
			return MirrorResponse{}, errUnknownCause
		}
		return inst.ledger.StoreNote(note), nil
	}
	switch f.mirrorFault(note.VM) {
	case unreachable:
		<-ctx.Done()
		return MirrorResponse{}, ctx.Err()
	case losingAnswers:
		_, _ = keep()
		<-ctx.Done()
		return MirrorResponse{}, ctx.Err()
	case delayed:
		time.AfterFunc(delayedCommitTime, func() { _, _ = keep() })
		<-ctx.Done()
		return MirrorResponse{}, ctx.Err()
	default:
		return keep()
	}
}

func (f *testFleet) recall(ctx context.Context, vm, addr, instance string) (RecalledNote, error) {
	time.Sleep(time.Millisecond)
	inst := f.instanceOf(addr)
	if inst == nil || f.mirrorFault(vm) != noFault {
		<-ctx.Done()
		return RecalledNote{}, ctx.Err()
	}
	return inst.ledger.RecallNote(vm, instance), nil
}

// askLife asks an instance for the last note of a VM.
func (f *testFleet) askLife(ctx context.Context, vm, instance string) (RecalledNote, error) {
	time.Sleep(time.Millisecond)
	inst := f.instanceOf(vmOf(instance))
	if inst == nil || inst.ledger.Incarnation != instance || f.mirrorFault(vm) != noFault {
		<-ctx.Done()
		return RecalledNote{}, ctx.Err()
	}
	return inst.ledger.RecallNote(vm, ""), nil
}

func (f *testFleet) mirrorFault(vm string) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrorFaults[vm]
}

func (f *testFleet) setMirrorFault(vm string, to fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirrorFaults[vm] = to
}

func (f *testFleet) offer(addr, workspace string, n int64) bool {
	inst := f.instanceOf(addr)
	if inst == nil {
		return false
	}
	inst.ledger.AcceptTransfer(workspace, n)
	return true
}

// addUsed adds n to the tokens used and checks the total; n may be negative.
func (f *testFleet) addUsed(workspace string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used[workspace] += n
	if f.used[workspace] > f.totals[workspace] && f.violation == nil {
		f.violation = fmt.Errorf("workspace %q has used %d of %d tokens", workspace, f.used[workspace], f.totals[workspace])
	}
}

// request reserves n tokens at the VM and bills the given part of them after a time. If the
// instance ends earlier, all of them count as used.
func (f *testFleet) request(vm, workspace string, n int64, billedShare float64, duration time.Duration) {
	inst := f.instanceOf(vm)
	if inst == nil {
		return
	}
	go func() {
		r, err := inst.ledger.Reserve(context.Background(), workspace, n, duration/4)
		if err != nil || f.isKilled(inst) {
			return
		}
		f.addUsed(workspace, n)
		time.Sleep(duration)
		if f.isKilled(inst) {
			return
		}
		billed := int64(billedShare * float64(n))
		r.Bill(billed)
		f.addUsed(workspace, billed-n)
	}()
}

func (f *testFleet) isKilled(inst *testInstance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return inst.killed
}

// topUp increases the workspace's total. The instances see it at different times.
func (f *testFleet) topUp(workspace string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals[workspace] += n
	for _, inst := range f.instances {
		time.AfterFunc(rand.N(time.Second), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			inst.configuredTotal[workspace] = f.totals[workspace]
		})
	}
}

// leave stops the VM gracefully.
func (f *testFleet) leave(vm string) {
	inst := f.instanceOf(vm)
	if inst == nil {
		return
	}
	inst.ledger.RemoveHeadroom()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go func() { _ = inst.ledger.ReturnExcess(ctx, time.Second) }()
	time.Sleep(time.Second)
	if f.store.faultOf(vm) != noFault {
		inst.ledger.TransferFree(ctx)
	}
	_ = inst.ledger.Close(ctx)
	f.kill(vm)
}

// allotted returns the number of tokens that the workspace's holdings have drawn, according to
// the store.
func (f *testFleet) allotted(t *testing.T, workspace string) int64 {
	t.Helper()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var total totalRow
	assert.NilError(t, f.store.rows[totalPlace(workspace, f.store.era)].Decode(&total))
	return total.Allotted
}

// drawn returns the number of tokens that the VM's instance has drawn from the workspace's
// total.
func (f *testFleet) drawn(vm, workspace string) int64 {
	for _, s := range f.instanceOf(vm).ledger.State() {
		if s.Workspace == workspace {
			return s.Drawn
		}
	}
	return 0
}

func (f *testFleet) result() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violation
}

// end stops all instances and waits for calls in progress.
func (f *testFleet) end() {
	f.mu.Lock()
	running := slices.Collect(maps.Keys(f.instances))
	f.mu.Unlock()
	for _, vm := range running {
		f.kill(vm)
	}
	time.Sleep(callDrainTime)
}
