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

// weather is how the store treats calls.
type weather int

const (
	well      weather = iota
	away              // no answer and no effect
	refusing          // refused without effect
	losing            // commits take effect, their answers are lost
	late              // commits take effect seconds later if their conditions still hold
	slow              // calls take a second
	weathers          // how many there are
	txTime    = 12 * time.Millisecond
	slowTime  = 1200 * time.Millisecond
	lateTime  = 3 * time.Second
	callLimit = 10 * time.Second
)

// fakeStore is the platform's store with faults.
type fakeStore struct {
	began time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[table.Place]table.Row
	version uint64
	era     uint64
	copies  []storeCopy
	weather map[string]weather // by VM
}

// storeCopy is the store as it was at a time.
type storeCopy struct {
	at      time.Time
	rows    map[table.Place]table.Row
	version uint64
}

// begun reports whether a router has found the store before the copy was made.
func (c storeCopy) begun() bool {
	for at := range c.rows {
		if strings.HasPrefix(at.Key, prefixRestored) {
			return true
		}
	}
	return false
}

func newFakeStore() *fakeStore {
	return &fakeStore{began: time.Now(), rows: make(map[table.Place]table.Row), weather: make(map[string]weather)}
}

func (s *fakeStore) set(vm string, w weather) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weather[vm] = w
}

func (s *fakeStore) now(vm string) weather {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weather[vm]
}

func (s *fakeStore) stamp() table.Stamp {
	return table.Stamp{Era: s.era, Version: s.version, Clock: time.Since(s.began) + time.Hour}
}

// apply performs the commit if its conditions hold.
func (s *fakeStore) apply(c table.Commit) (table.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []table.Row
	failed := false
	for _, cond := range c.Conditions {
		r, ok := s.rows[cond.Place]
		if ok {
			current = append(current, r)
		}
		failed = failed || r.Version != cond.Version
	}
	if failed {
		return s.stamp(), &table.ConflictError{Rows: current}
	}
	s.copies = append(s.copies, storeCopy{at: time.Now(), rows: maps.Clone(s.rows), version: s.version})
	s.version++
	for _, p := range c.Puts {
		if p.Delete {
			delete(s.rows, p.Place)
			continue
		}
		s.rows[p.Place] = table.Row{Place: p.Place, Version: s.version, Value: p.Value}
	}
	return s.stamp(), nil
}

func (s *fakeStore) eraNow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eraFor returns the era that a VM hears of; 0 if the store does not answer it.
func (s *fakeStore) eraFor(vm string) uint64 {
	if s.now(vm) == away {
		return 0
	}
	return s.eraNow()
}

// comeBack makes the store what it was some time ago, in a new era.
func (s *fakeStore) comeBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	then := time.Now().Add(-age)
	n, _ := slices.BinarySearchFunc(s.copies, then, func(c storeCopy, at time.Time) int { return c.at.Compare(at) })
	// A copy from before the fleet's first start can not be told from that start.
	for n < len(s.copies) && !s.copies[n].begun() {
		n++
	}
	if n == len(s.copies) {
		return
	}
	s.rows, s.version = maps.Clone(s.copies[n].rows), s.copies[n].version
	s.copies = s.copies[:n]
}

func (s *fakeStore) commit(ctx context.Context, vm string, c table.Commit) (table.Stamp, error) {
	unknown := fmt.Errorf("commit: %w", table.ErrUnknownOutcome)
	switch s.now(vm) {
	case away:
		<-ctx.Done()
		return table.Stamp{}, unknown
	case refusing:
		return table.Stamp{Era: s.eraNow()}, table.ErrUnavailable
	case losing:
		_, _ = s.apply(c)
		<-ctx.Done()
		return table.Stamp{}, unknown
	case late:
		time.AfterFunc(lateTime, func() { _, _ = s.apply(c) })
		<-ctx.Done()
		return table.Stamp{}, unknown
	case slow:
		time.Sleep(slowTime)
	default:
		time.Sleep(txTime)
	}
	return s.apply(c)
}

func (s *fakeStore) read(ctx context.Context, vm string, r table.Range) (table.Page, error) {
	switch s.now(vm) {
	case away:
		<-ctx.Done()
		return table.Page{}, table.ErrUnavailable
	case refusing:
		return table.Page{}, table.ErrUnavailable
	case slow:
		time.Sleep(slowTime)
	default:
		time.Sleep(txTime / 3)
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

// world is a fleet of VMs on one store, with the oracle that counts what was used.
type world struct {
	store *fakeStore
	// broken changes a life before it starts, to show that the oracle notices.
	broken func(p *Purse)

	mu    sync.Mutex // guards the fields below
	total map[string]int64
	used  map[string]int64 // billed, or reserved and not ended yet
	lives map[string]*life
	ended map[string]time.Time // when lives ended
	count int
	found error
	// links is how calls of mirrors by a VM fare: well, away, losing or late.
	links map[string]weather
	// askTakes is how long a question to another VM is on its way, there and back.
	askTakes time.Duration
}

// life is one running process.
type life struct {
	purse *Purse
	stop  context.CancelFunc
	dead  bool
	// granted is the total that its configuration tells.
	granted map[string]int64
}

func newWorld() *world {
	return &world{
		store: newFakeStore(),
		total: make(map[string]int64),
		used:  make(map[string]int64),
		lives: make(map[string]*life),
		ended: make(map[string]time.Time),
		links: make(map[string]weather),

		askTakes: time.Millisecond,
	}
}

// start begins a new life of the VM.
func (w *world) start(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	ctx, stop := context.WithCancel(context.Background())
	l := &life{stop: stop, granted: make(map[string]int64)}
	for workspace, n := range w.total {
		l.granted[workspace] = n
	}
	l.purse = &Purse{
		VM:   vm,
		Life: NameLife(vm, strconv.Itoa(w.count)),
		Commit: func(ctx context.Context, c table.Commit) (table.Stamp, error) {
			if w.gone(l) {
				<-ctx.Done()
				return table.Stamp{}, table.ErrUnknownOutcome
			}
			return w.store.commit(ctx, vm, c)
		},
		Read: func(ctx context.Context, r table.Range) (table.Page, error) {
			if w.gone(l) {
				<-ctx.Done()
				return table.Page{}, table.ErrUnavailable
			}
			return w.store.read(ctx, vm, r)
		},
		Prepaid: func(workspace string) int64 {
			w.mu.Lock()
			defer w.mu.Unlock()
			return l.granted[workspace]
		},
		Size:       demand.SizeByShare(func() int { return 3 }),
		Homes:      func(string) ([]string, bool) { return w.homes(vm) },
		Alive:      w.alive,
		Recent:     w.recent,
		PickMirror: func(current, avoid string) string { return w.pickMirror(vm, current, avoid) },
		TellMirror: func(ctx context.Context, addr string, note MirrorNote) (MirrorAnswer, error) {
			if w.gone(l) {
				return MirrorAnswer{}, errNone
			}
			return w.tellMirror(ctx, addr, note)
		},
		RecallMirror: func(ctx context.Context, addr, life string) (Recalled, error) { return w.recall(ctx, vm, addr, life) },
		Clock:        func() time.Duration { return time.Since(w.store.began) + time.Minute },
		AskLife:      func(ctx context.Context, life string) (Recalled, error) { return w.askLife(ctx, vm, life) },
		Ask:          w.ask,
		Invite: func(addr, workspace string) {
			if l := w.life(addr); l != nil {
				go l.purse.Invited(workspace)
			}
		},
		Offer: func(_ context.Context, addr, workspace string, n int64) bool { return w.offer(addr, workspace, n) },
	}
	if w.broken != nil {
		w.broken(l.purse)
	}
	w.lives[vm] = l
	go func() { _ = l.purse.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, time.Second)
			l.purse.Tidy(ctx)
			// As the followers of the platform's tables do.
			l.purse.HearEra(table.Stamp{Era: w.store.eraFor(vm)})
		}
	}()
}

// kill ends the VM's life; what it has reserved may have been used.
func (w *world) kill(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.lives[vm]; l != nil {
		l.dead = true
		l.stop()
		delete(w.lives, vm)
		w.ended[l.purse.Life] = time.Now()
	}
}

// recent lists the lives that run, or ran a moment ago.
func (w *world) recent() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, l := range w.lives {
		out = append(out, l.purse.Life)
	}
	for life, at := range w.ended {
		if time.Since(at) < copyAge {
			out = append(out, life)
		}
	}
	return out
}

func (w *world) life(vm string) *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[vm]
}

// alive reports whether a life runs.
func (w *world) alive(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lives {
		if l.purse.Life == name {
			return true
		}
	}
	return false
}

// homes lists the VMs that keep tokens besides the one that asks.
func (w *world) homes(vm string) ([]string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, home := range []string{"a", "b"} {
		if home != vm && w.lives[home] != nil {
			out = append(out, home)
		}
	}
	return out, vm != "c"
}

func (w *world) ask(ctx context.Context, addr, workspace string, n int64) (Gift, error) {
	sleep(ctx, w.askTakes/2)
	l := w.life(addr)
	if l == nil || ctx.Err() != nil {
		return Gift{}, errNone
	}
	gift := l.purse.Give(context.WithoutCancel(ctx), workspace, n)
	sleep(ctx, w.askTakes/2)
	if w.gone(l) || ctx.Err() != nil {
		return Gift{}, errNone
	}
	return gift, nil
}

// pickMirror returns the current mirror if it runs, or another VM.
func (w *world) pickMirror(vm, current, avoid string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range append([]string{current}, vms...) {
		if other != vm && other != avoid && w.lives[other] != nil {
			return other
		}
	}
	return ""
}

// tellMirror carries a note; it may be kept though its answer is lost, or kept late.
func (w *world) tellMirror(ctx context.Context, addr string, note MirrorNote) (MirrorAnswer, error) {
	time.Sleep(time.Millisecond)
	keep := func() (MirrorAnswer, error) {
		l := w.life(addr)
		if l == nil {
			return MirrorAnswer{}, errNone
		}
		return l.purse.Keep(note), nil
	}
	switch w.link(note.VM) {
	case away:
		<-ctx.Done()
		return MirrorAnswer{}, ctx.Err()
	case losing:
		_, _ = keep()
		<-ctx.Done()
		return MirrorAnswer{}, ctx.Err()
	case late:
		time.AfterFunc(lateTime, func() { _, _ = keep() })
		<-ctx.Done()
		return MirrorAnswer{}, ctx.Err()
	default:
		return keep()
	}
}

func (w *world) recall(ctx context.Context, vm, addr, life string) (Recalled, error) {
	time.Sleep(time.Millisecond)
	l := w.life(addr)
	if l == nil || w.link(vm) != well {
		<-ctx.Done()
		return Recalled{}, ctx.Err()
	}
	return l.purse.Recall(vm, life), nil
}

// askLife asks a life for the last note of a VM.
func (w *world) askLife(ctx context.Context, vm, life string) (Recalled, error) {
	time.Sleep(time.Millisecond)
	l := w.life(vmOf(life))
	if l == nil || l.purse.Life != life || w.link(vm) != well {
		<-ctx.Done()
		return Recalled{}, ctx.Err()
	}
	return l.purse.Recall(vm, ""), nil
}

func (w *world) link(vm string) weather {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[vm]
}

func (w *world) setLink(vm string, to weather) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[vm] = to
}

func (w *world) offer(addr, workspace string, n int64) bool {
	l := w.life(addr)
	if l == nil {
		return false
	}
	l.purse.Accept(workspace, n)
	return true
}

// count takes n tokens more or less into account.
func (w *world) use(workspace string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used[workspace] += n
	if w.used[workspace] > w.total[workspace] && w.found == nil {
		w.found = fmt.Errorf("workspace %q has used %d of %d tokens", workspace, w.used[workspace], w.total[workspace])
	}
}

// request reserves n tokens at the VM and bills a part of them some time later. If the
// life ends before, all of them count as used.
func (w *world) request(vm, workspace string, n int64, part float64, lasts time.Duration) {
	l := w.life(vm)
	if l == nil {
		return
	}
	go func() {
		r, err := l.purse.Reserve(context.Background(), workspace, n, lasts/4)
		if err != nil || w.gone(l) {
			return
		}
		w.use(workspace, n)
		time.Sleep(lasts)
		if w.gone(l) {
			return
		}
		billed := int64(part * float64(n))
		r.Bill(billed)
		w.use(workspace, billed-n)
	}()
}

func (w *world) gone(l *life) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.dead
}

// topUp raises the workspace's total, and tells the lives of it one after the other.
func (w *world) topUp(workspace string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total[workspace] += n
	for _, l := range w.lives {
		time.AfterFunc(rand.N(time.Second), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			l.granted[workspace] = w.total[workspace]
		})
	}
}

// leave stops the VM gracefully.
func (w *world) leave(vm string) {
	l := w.life(vm)
	if l == nil {
		return
	}
	l.purse.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go func() { _ = l.purse.Shrink(ctx, time.Second) }()
	time.Sleep(time.Second)
	if w.store.now(vm) != well {
		l.purse.Leave(ctx)
	}
	_ = l.purse.Close(ctx)
	w.kill(vm)
}

// allotted returns what the workspace's holdings have drawn, by the store.
func (w *world) allotted(t *testing.T, workspace string) int64 {
	t.Helper()
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var total totalRow
	assert.NilError(t, w.store.rows[totalPlace(workspace, w.store.era)].Decode(&total))
	return total.Allotted
}

// drawn returns what the VM's life has drawn of the workspace.
func (w *world) drawn(vm, workspace string) int64 {
	for _, s := range w.life(vm).purse.State() {
		if s.Workspace == workspace {
			return s.Drawn
		}
	}
	return 0
}

func (w *world) result() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found
}

// end stops all lives and lets what is under way come to an end.
func (w *world) end() {
	w.mu.Lock()
	running := slices.Collect(maps.Keys(w.lives))
	w.mu.Unlock()
	for _, vm := range running {
		w.kill(vm)
	}
	time.Sleep(callLimit)
}
