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
	for location := range s.rows {
		if strings.HasPrefix(location.Key, prefixRestored) {
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
	// names are the VMs that histories start, and homes the home routers of all workspaces.
	names, homes []string
	// mutate changes an incarnation before it starts, to show that the oracle notices.
	mutate func(m *Manager)

	mu               sync.Mutex // guards the fields below
	totals           map[string]int64
	used             map[string]int64 // billed, or reserved and not finished
	incarnations     map[string]*testIncarnation
	endedAt          map[string]time.Time // when incarnations ended, by ID
	incarnationCount int
	leaving          map[string]bool      // VMs that have begun to stop
	cutAt            map[string]time.Time // VMs that are cut off from the other VMs, and since when
	cutWith          map[string]int       // of these, the part of the network that they share with others; 0 if none
	partitions       int
	violation        error
	// mirrorFaults is how calls to mirrors by a VM are treated: noFault, unreachable,
	// losingAnswers or delayed.
	mirrorFaults map[string]fault
	// peerRoundTrip is the network round trip of a transfer request.
	peerRoundTrip time.Duration
}

// testIncarnation is one running process.
type testIncarnation struct {
	manager *Manager
	stop    context.CancelFunc
	killed  bool
	// configuredTotal is the total of each workspace by the configuration of this incarnation.
	configuredTotal map[string]int64
}

func newTestFleet() *testFleet {
	return &testFleet{
		store:        newFakeStore(),
		totals:       make(map[string]int64),
		used:         make(map[string]int64),
		incarnations: make(map[string]*testIncarnation),
		endedAt:      make(map[string]time.Time),
		leaving:      make(map[string]bool),
		cutAt:        make(map[string]time.Time),
		cutWith:      make(map[string]int),
		names:        vms,
		homes:        []string{"a", "b"},
		mirrorFaults: make(map[string]fault),

		peerRoundTrip: time.Millisecond,
	}
}

// start starts a new incarnation of the VM.
func (f *testFleet) start(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnationCount++
	startedAt := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	inc := &testIncarnation{stop: stop, configuredTotal: make(map[string]int64)}
	for workspace, n := range f.totals {
		inc.configuredTotal[workspace] = n
	}
	inc.manager = &Manager{
		VM:          vm,
		Incarnation: NewIncarnationID(vm, strconv.Itoa(f.incarnationCount)),
		Commit: func(ctx context.Context, c table.Commit) (table.Stamp, error) {
			if f.isKilled(inc) {
				<-ctx.Done()
				return table.Stamp{}, table.ErrUnknownOutcome
			}
			return f.store.commit(ctx, vm, c)
		},
		Read: func(ctx context.Context, r table.Range) (table.Page, error) {
			if f.isKilled(inc) {
				<-ctx.Done()
				return table.Page{}, table.ErrUnavailable
			}
			return f.store.read(ctx, vm, r)
		},
		PrepaidTotal: func(workspace string) int64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return inc.configuredTotal[workspace]
		},
		DrawSize:    demand.SizeByShare(func() int { return 3 }),
		HomeRouters: func(string) ([]string, bool) { return f.homeRouters(vm) },
		IsStaying:   func(incarnation string) bool { return f.isStaying(incarnation) && f.reaches(vm, VMOf(incarnation)) },
		RouterAddr:  VMOf,
		IsLost:      func(incarnation string) bool { return f.isLost(vm, incarnation) },
		Reclaimers:  func() []string { return f.reclaimers(vm) },
		SendReplica: func(ctx context.Context, reclaimer string, r BoundsReplica) (ReplicaAck, error) {
			return f.sendReplica(ctx, vm, reclaimer, r)
		},
		RequestFence: func(ctx context.Context, reclaimer, incarnation string, seq int64) (FenceResponse, error) {
			return f.requestFence(ctx, vm, reclaimer, incarnation, seq)
		},
		SendFinalUsage: func(ctx context.Context, reclaimer string, usage FinalUsage) error {
			return f.sendFinalUsage(ctx, vm, reclaimer, usage)
		},
		FetchRecent: func(ctx context.Context, incarnation string) (RecentIncarnations, error) {
			return f.fetchRecent(ctx, vm, incarnation)
		},
		RecentIncarnations: func() []string { return f.recentIncarnations(startedAt) },
		ChooseMirror:       func(current, avoid string) string { return f.chooseMirror(vm, current, avoid) },
		SendNote: func(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
			if f.isKilled(inc) {
				return MirrorResponse{}, errUnknownCause
			}
			return f.sendNote(ctx, addr, note)
		},
		FetchNote: func(ctx context.Context, addr, incarnation string) (RecalledNote, error) {
			return f.fetchNote(ctx, vm, addr, incarnation)
		},
		Clock: func() time.Duration { return time.Since(f.store.startedAt) + time.Minute },
		FetchNoteFrom: func(ctx context.Context, incarnation string) (RecalledNote, error) {
			return f.fetchNoteFrom(ctx, vm, incarnation)
		},
		RequestTransfer: func(ctx context.Context, addr, workspace string, n int64) (Transfer, error) {
			if !f.reaches(vm, addr) {
				<-ctx.Done()
				return Transfer{}, ctx.Err()
			}
			return f.requestTransfer(ctx, addr, workspace, n)
		},
		SendDrawHint: func(addr, workspace string) {
			if inc := f.incarnationOf(addr); inc != nil && f.reaches(vm, addr) {
				go inc.manager.DrawOnHint(workspace)
			}
		},
		OfferTransfer: func(_ context.Context, addr, workspace string, n int64) bool {
			return f.reaches(vm, addr) && f.offerTransfer(addr, workspace, n)
		},
	}
	if f.mutate != nil {
		f.mutate(inc.manager)
	}
	f.incarnations[vm] = inc
	go func() { _ = inc.manager.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, time.Second)
			inc.manager.ReleaseIdle(ctx)
			// In production, the followers of the platform's tables report the era.
			inc.manager.ObserveEra(table.Stamp{Era: f.store.eraFor(vm)})
		}
	}()
}

// kill ends the VM's incarnation; the tokens that it has reserved may have been used.
func (f *testFleet) kill(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if inc := f.incarnations[vm]; inc != nil {
		inc.killed = true
		inc.stop()
		delete(f.incarnations, vm)
		delete(f.leaving, vm)
		f.endedAt[inc.manager.Incarnation] = time.Now()
	}
}

// recentIncarnations returns the incarnations that run, or ran within the maximum age of a copy, as far as an
// incarnation that started at the given time has seen them.
func (f *testFleet) recentIncarnations(startedAt time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, inc := range f.incarnations {
		out = append(out, inc.manager.Incarnation)
	}
	for incarnation, at := range f.endedAt {
		if time.Since(at) < maxCopyAge && !at.Before(startedAt) {
			out = append(out, incarnation)
		}
	}
	return out
}

func (f *testFleet) incarnationOf(vm string) *testIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnations[vm]
}

// isStaying reports whether an incarnation runs and is not leaving.
func (f *testFleet) isStaying(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, inc := range f.incarnations {
		if inc.manager.Incarnation == name {
			return !f.leaving[vm]
		}
	}
	return false
}

// detectionTime is how long an incarnation that has ended or is cut off is not known to be lost.
const detectionTime = 4 * time.Second

// isLost reports whether a VM believes that an incarnation is lost.
func (f *testFleet) isLost(vm, incarnation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	other := f.incarnations[VMOf(incarnation)]
	if other == nil || other.manager.Incarnation != incarnation {
		ended, ok := f.endedAt[incarnation]
		return ok && time.Since(ended) >= detectionTime
	}
	return f.isOutOfTouch(vm, VMOf(incarnation))
}

// isOutOfTouch reports whether two VMs have been cut off from each other for long enough to notice. The caller holds mu.
func (f *testFleet) isOutOfTouch(vm, other string) bool {
	if f.sharePart(vm, other) {
		return false
	}
	for _, side := range []string{vm, other} {
		if since, cut := f.cutAt[side]; cut && time.Since(since) >= detectionTime {
			return true
		}
	}
	return false
}

// vmNames returns the sorted names of the VMs that run.
func (f *testFleet) vmNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.incarnations))
}

// reclaimers returns the incarnations that a VM believes to run.
func (f *testFleet) reclaimers(vm string) []string {
	var out []string
	for _, other := range f.vmNames() {
		if inc := f.incarnationOf(other); inc != nil && other != vm && !f.isLost(vm, inc.manager.Incarnation) {
			out = append(out, inc.manager.Incarnation)
		}
	}
	return out
}

func (f *testFleet) sendReplica(ctx context.Context, vm, reclaimer string, r BoundsReplica) (ReplicaAck, error) {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(VMOf(reclaimer))
	if inc == nil || !f.reaches(vm, VMOf(reclaimer)) {
		<-ctx.Done()
		return ReplicaAck{}, ctx.Err()
	}
	if !inc.manager.StoreReplica(r) {
		return ReplicaAck{}, errReclaimed
	}
	return ReplicaAck{Responder: inc.manager.Incarnation, Uptime: inc.manager.Uptime()}, nil
}

func (f *testFleet) requestFence(ctx context.Context, vm, reclaimer, incarnation string, seq int64) (FenceResponse, error) {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(VMOf(reclaimer))
	if inc == nil || !f.reaches(vm, VMOf(reclaimer)) {
		<-ctx.Done()
		return FenceResponse{}, ctx.Err()
	}
	return inc.manager.Fence(incarnation, seq), nil
}

func (f *testFleet) sendFinalUsage(ctx context.Context, vm, reclaimer string, usage FinalUsage) error {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(VMOf(reclaimer))
	if inc == nil || inc.manager.Incarnation != reclaimer || !f.reaches(vm, VMOf(reclaimer)) {
		<-ctx.Done()
		return ctx.Err()
	}
	return inc.manager.AcceptFinalUsage(usage)
}

func (f *testFleet) fetchRecent(ctx context.Context, vm, incarnation string) (RecentIncarnations, error) {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(VMOf(incarnation))
	if inc == nil || inc.manager.Incarnation != incarnation || !f.reaches(vm, VMOf(incarnation)) {
		<-ctx.Done()
		return RecentIncarnations{}, ctx.Err()
	}
	return inc.manager.Recent(), nil
}

// setCut cuts a VM off from the other VMs, or ends that.
func (f *testFleet) setCut(vm string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cutAt, vm)
	delete(f.cutWith, vm)
	if cut {
		f.cutAt[vm] = time.Now()
	}
}

// cutOffTogether cuts VMs off from the store and from the other VMs, but not from each other.
func (f *testFleet) cutOffTogether(vmNames ...string) {
	f.mu.Lock()
	f.partitions++
	part := f.partitions
	f.mu.Unlock()
	for _, vm := range vmNames {
		f.setCut(vm, true)
		f.store.setFault(vm, unreachable)
		f.mu.Lock()
		f.cutWith[vm] = part
		f.mu.Unlock()
	}
}

// rejoin ends that VMs are cut off.
func (f *testFleet) rejoin(vmNames ...string) {
	for _, vm := range vmNames {
		f.setCut(vm, false)
		f.store.setFault(vm, noFault)
	}
}

// sharePart reports whether two VMs are cut off together. The caller holds mu.
func (f *testFleet) sharePart(vm, other string) bool {
	return f.cutWith[vm] > 0 && f.cutWith[vm] == f.cutWith[other]
}

// reaches reports whether a VM reaches another one.
func (f *testFleet) reaches(vm, other string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, cut := f.cutAt[vm]
	_, otherCut := f.cutAt[other]
	return !cut && !otherCut || f.sharePart(vm, other)
}

// homeRouters returns the home routers other than the given VM, and whether that VM is one. VMs that
// are leaving are none.
func (f *testFleet) homeRouters(vm string) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, other := range f.homes {
		_, cut := f.cutAt[other]
		if other != vm && f.incarnations[other] != nil && !f.leaving[other] && (!cut || f.sharePart(vm, other)) {
			out = append(out, other)
		}
	}
	return out, slices.Contains(f.homes, vm) && !f.leaving[vm]
}

func (f *testFleet) requestTransfer(ctx context.Context, addr, workspace string, n int64) (Transfer, error) {
	sleep(ctx, f.peerRoundTrip/2)
	inc := f.incarnationOf(addr)
	if inc == nil || ctx.Err() != nil {
		return Transfer{}, errUnknownCause
	}
	transfer := inc.manager.SendTransfer(context.WithoutCancel(ctx), workspace, n)
	sleep(ctx, f.peerRoundTrip/2)
	if f.isKilled(inc) || ctx.Err() != nil {
		return Transfer{}, errUnknownCause
	}
	return transfer, nil
}

// chooseMirror returns the current mirror if it is believed to run and not to be leaving, or another VM.
func (f *testFleet) chooseMirror(vm, current, avoid string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, candidate := range append([]string{current}, f.names...) {
		if candidate != vm && candidate != avoid && f.incarnations[candidate] != nil && !f.leaving[candidate] && !f.isOutOfTouch(vm, candidate) {
			return candidate
		}
	}
	return ""
}

// sendNote delivers a note. Depending on the fault, it is kept though its answer is lost, or
// kept late.
func (f *testFleet) sendNote(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
	time.Sleep(time.Millisecond)
	keep := func() (MirrorResponse, error) {
		inc := f.incarnationOf(addr)
		if inc == nil || !f.reaches(note.VM, addr) {
			return MirrorResponse{}, errUnknownCause
		}
		return inc.manager.StoreNote(note), nil
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

func (f *testFleet) fetchNote(ctx context.Context, vm, addr, incarnation string) (RecalledNote, error) {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(addr)
	if inc == nil || f.mirrorFault(vm) != noFault || !f.reaches(vm, addr) {
		<-ctx.Done()
		return RecalledNote{}, ctx.Err()
	}
	return inc.manager.RecallNote(vm, incarnation), nil
}

// fetchNoteFrom asks an incarnation for the last note of a VM.
func (f *testFleet) fetchNoteFrom(ctx context.Context, vm, incarnation string) (RecalledNote, error) {
	time.Sleep(time.Millisecond)
	inc := f.incarnationOf(VMOf(incarnation))
	if inc == nil || inc.manager.Incarnation != incarnation || f.mirrorFault(vm) != noFault || !f.reaches(vm, VMOf(incarnation)) {
		<-ctx.Done()
		return RecalledNote{}, ctx.Err()
	}
	return inc.manager.RecallNote(vm, ""), nil
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

func (f *testFleet) offerTransfer(addr, workspace string, n int64) bool {
	inc := f.incarnationOf(addr)
	if inc == nil {
		return false
	}
	return inc.manager.AcceptTransfer(workspace, n) == nil
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
// incarnation ends earlier, all of them count as used.
func (f *testFleet) request(vm, workspace string, n int64, billedShare float64, duration time.Duration) {
	inc := f.incarnationOf(vm)
	if inc == nil {
		return
	}
	go func() {
		r, err := inc.manager.Reserve(context.Background(), workspace, n, duration/4)
		if err != nil || f.isKilled(inc) {
			return
		}
		f.addUsed(workspace, n)
		time.Sleep(duration)
		if f.isKilled(inc) {
			return
		}
		billed := int64(billedShare * float64(n))
		r.Bill(billed)
		f.addUsed(workspace, billed-n)
	}()
}

func (f *testFleet) isKilled(inc *testIncarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return inc.killed
}

// topUp increases the workspace's total. The incarnations see it at different times.
func (f *testFleet) topUp(workspace string, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals[workspace] += n
	for _, inc := range f.incarnations {
		time.AfterFunc(rand.N(time.Second), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			inc.configuredTotal[workspace] = f.totals[workspace]
		})
	}
}

// announceLeaving tells the other VMs that one has begun to stop.
func (f *testFleet) announceLeaving(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[vm] = true
}

// leave stops the VM gracefully.
func (f *testFleet) leave(vm string) {
	inc := f.incarnationOf(vm)
	if inc == nil {
		return
	}
	f.announceLeaving(vm)
	inc.manager.RemoveHeadroom()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go func() {
		for inc.manager.ReturnExcess(ctx, time.Second) != nil && sleep(ctx, retryDelay) {
		}
	}()
	time.Sleep(time.Second)
	if f.store.faultOf(vm) != noFault {
		inc.manager.TransferFree(ctx)
	}
	_ = inc.manager.Close(ctx)
	f.kill(vm)
}

// allotted returns the number of tokens that the workspace's holdings have drawn, according to
// the store.
func (f *testFleet) allotted(t *testing.T, workspace string) int64 {
	t.Helper()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var total totalRow
	assert.NilError(t, f.store.rows[totalLocation(workspace, f.store.era)].Decode(&total))
	return total.Allotted
}

// drawn returns the number of tokens that the VM's incarnation has drawn from the workspace's
// total.
func (f *testFleet) drawn(vm, workspace string) int64 {
	for _, s := range f.incarnationOf(vm).manager.State() {
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

// end stops all incarnations and waits for calls in progress.
func (f *testFleet) end() {
	f.mu.Lock()
	running := slices.Collect(maps.Keys(f.incarnations))
	f.mu.Unlock()
	for _, vm := range running {
		f.kill(vm)
	}
	time.Sleep(callDrainTime)
}
