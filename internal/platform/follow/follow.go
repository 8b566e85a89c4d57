package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	// pollWait is how long the store holds a poll without a change. It bounds how long a
	// connection that has gone silent goes unnoticed.
	pollWait = 2 * time.Second
	// answerTime is how long an answer may take beyond the wait.
	answerTime = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// peerInterval is the time between questions to other routers while the store fails.
	peerInterval = 250 * time.Millisecond
	pageRows     = 500
)

// Table keeps a copy of one table.
type Table struct {
	// Name is the table's name in the store.
	Name string
	// Read returns rows as of one moment.
	Read func(ctx context.Context, r table.Range) (table.Page, error)
	// Watch waits for changes since a version.
	Watch func(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error)
	// Ask asks the router at addr, or any if addr is empty.
	Ask func(ctx context.Context, addr string, in inner.FollowRequest) (inner.FollowResponse, error)
	// Newer reports whether the content of a row is newer than that of another, whatever
	// their versions say; nil if only versions tell.
	Newer func(a, b table.Row) bool
	// OnRows is told of the rows that changed, in the order of their versions, and whether
	// they are those of an older copy from which the store has come back. It must not block.
	OnRows func(rows []table.Row, fromCopy bool)
	// OnEra is told that the store has answered in an era. It must not block.
	OnEra func(stamp table.Stamp)
	// OnContact is told when the store is lost, with the cause, or reached again, with nil,
	// and how long ago it had confirmed the copy before. It must not block.
	OnContact func(err error, age time.Duration)

	set     rowSet
	failing atomic.Bool
	// confirmed is the begin of the last call that went well, or of this copy.
	confirmed atomic.Pointer[time.Time]
	// regained is when the store was last reached after it had been lost; nil if never.
	regained atomic.Pointer[time.Time]
	hints    chan string // addresses of routers that know more
	// newEra is the latest era in which the store has answered other calls.
	newEra atomic.Uint64
	poll   atomic.Pointer[context.CancelFunc]
}

// Known reports whether the table was ever read as a whole, even if it was empty.
func (t *Table) Known() bool {
	_, version := t.set.knows()
	return version > 0
}

// Failing reports whether the store does not answer this router.
func (t *Table) Failing() bool { return t.failing.Load() }

// Regained returns when the store was last reached after it had been lost, the present
// if it is lost now, and false if it never was.
func (t *Table) Regained() (time.Time, bool) {
	if t.failing.Load() {
		return time.Now(), true
	}
	regained := t.regained.Load()
	if regained == nil {
		return time.Time{}, false
	}
	return *regained, true
}

// Age returns how long ago the store has confirmed the copy, or the copy was prepared if
// it never has.
func (t *Table) Age() time.Duration { return time.Since(*t.confirmed.Load()) }

// Prepare must come before any other method.
func (t *Table) Prepare() {
	t.hints = make(chan string, 1)
	now := time.Now()
	t.confirmed.Store(&now)
}

// Run keeps the copy up to date until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.followPeers(ctx)
	}()
	t.followStore(ctx)
	<-done
	return nil
}

// followStore reads the table and then its changes.
func (t *Table) followStore(ctx context.Context) {
	loaded := false
	var pause time.Duration
	for ctx.Err() == nil {
		began := time.Now()
		err := t.step(ctx, loaded)
		loaded = loaded && !errors.Is(err, table.ErrHistoryLost) || !loaded && err == nil
		t.note(began, err)
		if err == nil || errors.Is(err, table.ErrHistoryLost) {
			pause = 0
			continue
		}
		pause = min(max(2*pause, firstBackoff), maxBackoff)
		sleep(ctx, pause/2+rand.N(pause))
	}
}

// step reads the whole table if it is not loaded, and otherwise waits for one change.
func (t *Table) step(ctx context.Context, loaded bool) error {
	if !loaded {
		return t.load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerTime)
	defer cancel()
	t.poll.Store(&cancel)
	wait := pollWait
	if t.failing.Load() {
		// An answer without a change tells that the store is back.
		wait = 0
	}
	era, since := t.set.knows()
	page, err := t.Watch(ctx, t.Name, since, wait)
	t.hear(page.Stamp)
	switch {
	case err != nil && t.passed(era):
		return fmt.Errorf("watch table %q: %w: %w", t.Name, table.ErrHistoryLost, err)
	case err != nil:
		return fmt.Errorf("watch table %q: %w", t.Name, err)
	case page.Era != era:
		return fmt.Errorf("watch table %q: store is in era %d: %w", t.Name, page.Era, table.ErrHistoryLost)
	}
	t.merge(change{era: era, version: page.Version, rows: page.Rows})
	return nil
}

// hear tells of the store's era, as an answer shows it.
func (t *Table) hear(stamp table.Stamp) {
	if t.OnEra != nil {
		t.OnEra(stamp)
	}
}

// EraBegan notes that the store has answered another call in an era. A poll that waits for
// a version of an earlier one is given up.
func (t *Table) EraBegan(era uint64) {
	if known, _ := t.set.knows(); era <= known {
		return
	}
	for {
		last := t.newEra.Load()
		if last >= era {
			return
		}
		if t.newEra.CompareAndSwap(last, era) {
			break
		}
	}
	if cancel := t.poll.Load(); cancel != nil {
		(*cancel)()
	}
}

// passed reports whether the store has answered another call in a later era.
func (t *Table) passed(era uint64) bool { return t.newEra.Load() > era }

// merge takes in a change, and hands on what is new.
func (t *Table) merge(c change) {
	if t.set.merge(c, t.Newer, t.OnRows) {
		// What the copy lacks may be written again, as after an outage.
		now := time.Now()
		t.regained.Store(&now)
	}
}

// load reads the whole table. Later pages may be newer than the first; what changed
// between them comes again with the changes since the first.
func (t *Table) load(ctx context.Context) error {
	r := table.Range{Table: t.Name, Limit: pageRows}
	var rows []table.Row
	var first table.Stamp
	for {
		page, err := t.read(ctx, r)
		t.hear(page.Stamp)
		if err != nil {
			return fmt.Errorf("read table %q: %w", t.Name, err)
		}
		if first.Version == 0 {
			first = page.Stamp
		}
		if page.Era != first.Era {
			return fmt.Errorf("read table %q: store has begun era %d: %w", t.Name, page.Era, table.ErrUnavailable)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		r.From = table.Behind(page.Rows[len(page.Rows)-1].Key)
	}
	t.merge(change{era: first.Era, version: first.Version, rows: rows, whole: true})
	return nil
}

func (t *Table) read(ctx context.Context, r table.Range) (table.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait)
	defer cancel()
	return t.Read(ctx, r)
}

// note remembers whether the store answers a call that began at a time, and tells of
// changes. A call that went well shows that the store was well since its begin.
func (t *Table) note(began time.Time, err error) {
	failing := err != nil && !errors.Is(err, table.ErrHistoryLost)
	age := t.Age()
	if !failing {
		t.confirmed.Store(&began)
		err = nil
	}
	if failing == t.failing.Load() {
		return
	}
	if !failing {
		t.regained.Store(&began)
	}
	t.failing.Store(failing)
	if t.OnContact != nil {
		t.OnContact(err, age)
	}
}

// followPeers asks other routers while the store fails, and when one knows more.
func (t *Table) followPeers(ctx context.Context) {
	tick := time.NewTicker(peerInterval)
	defer tick.Stop()
	for {
		addr := ""
		select {
		case <-ctx.Done():
			return
		case addr = <-t.hints:
		case <-tick.C:
			if !t.failing.Load() {
				continue
			}
		}
		t.ask(ctx, addr)
	}
}

// ask asks the router at an address for what this one lacks, or any if the address is
// empty. One that is known to have newer rows is asked for all of them, since these may be
// older by their versions.
func (t *Table) ask(ctx context.Context, addr string) {
	era, since := t.set.knows()
	if addr != "" {
		since = 0
	}
	out, err := t.Ask(ctx, addr, inner.FollowRequest{Table: t.Name, Era: era, Since: since})
	if err != nil || out.Version == 0 {
		// Another router is asked in the next round.
		return
	}
	rows := make([]table.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = table.Row{
			Place:   table.Place{Table: t.Name, Key: r.Key},
			Version: r.Version, Value: r.Value, Deleted: r.Deleted,
		}
	}
	t.merge(change{era: out.Era, version: out.Version, rows: rows, whole: out.Whole})
}

// HeardFrom notes that the router at addr has newer rows.
func (t *Table) HeardFrom(addr string) {
	select {
	case t.hints <- addr:
	default:
	}
}

// Answer answers another router.
func (t *Table) Answer(in inner.FollowRequest) inner.FollowResponse {
	return t.set.since(in.Era, in.Since)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
