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
	// defaultPollWait is the default of Table.PollWait, and readTimeout the time to read one page.
	defaultPollWait = 2 * time.Second
	readTimeout     = 2 * time.Second
	// pollMargin is how long the answer to a poll may take beyond the wait at the store.
	pollMargin = 300 * time.Millisecond
	// initialBackoff and maxBackoff bound the mean delay after a failed call; the actual delay
	// is between half and one and a half times the mean.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// rowsPerPage is the page size for reading the whole table.
	rowsPerPage = 500
)

// Table keeps a local copy of one table of the platform's store.
type Table struct {
	// Name is the table's name in the store.
	Name string
	// Read returns one page of rows, read at a single version.
	Read func(ctx context.Context, r table.Range) (table.Page, error)
	// Watch returns the changes after a version. It waits at most the given time for one.
	Watch func(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error)
	// PollWait is how long the store holds a poll open when there is no change; 0 selects 2 s. It
	// bounds how long a silently broken connection goes unnoticed.
	PollWait time.Duration
	// RequestRows sends a request for rows to the router at addr, or to any router if addr is empty.
	RequestRows func(ctx context.Context, addr string, in inner.FollowRequest) (inner.FollowResponse, error)
	// Newer reports whether the content of row a is newer than that of row b, whatever their
	// versions; nil if only the versions decide.
	Newer func(a, b table.Row) bool
	// Valid reports whether a row can be used; nil if every row can. Other rows reach OnRows too,
	// but are kept without their values, which may be large.
	Valid func(r table.Row) bool
	// OnRows receives the rows that changed, ordered by version. It must not block.
	OnRows func(rows []table.Row, from Source)
	// OnTransfer is called at the end of each call that was answered with rows, or that broke off after a part
	// of its answer. It must not block; nil ignores them.
	OnTransfer func(r Result)
	// OnEra receives the stamp of every call to the store, which is zero if there was no answer.
	// It must not block.
	OnEra func(stamp table.Stamp)
	// OnReachabilityChange is called with the cause when the store becomes unreachable, and
	// with nil when it has recovered. age is the time since the start of the previous successful call, or since
	// Init. It must not block.
	OnReachabilityChange func(err error, age time.Duration)

	local   rowSet
	failing atomic.Bool
	// lastConfirmed is the start of the most recent successful call, or the time of Init
	// if no call has succeeded.
	lastConfirmed atomic.Pointer[time.Time]
	// recoveredAt is when the store last became reachable after a failure or was last rolled
	// back to an older snapshot; nil if neither has happened.
	recoveredAt atomic.Pointer[time.Time]
	peerHints   chan hint // routers known to have newer rows
	packed      packedValues
	// latestEra is the latest era passed to ObserveEra.
	latestEra atomic.Uint64
	// cancelPoll cancels the most recent poll.
	cancelPoll atomic.Pointer[context.CancelFunc]
	// current is the most recent call to the store; nil before the first one.
	current atomic.Pointer[table.Transfer]
}

// Source tells where rows come from and how they have arrived.
type Source struct {
	// FromPeer reports that another router sent the rows rather than the store.
	FromPeer bool
	// RolledBack reports that the rows come from a store that was rolled back to an older snapshot.
	RolledBack bool
	// Transfer is the call that the rows answer.
	Transfer *table.Transfer
}

// Result is the end of one call for rows.
type Result struct {
	Source
	// Changed is the number of rows that the copy did not have yet.
	Changed int
	// Err is why only a part of the answer has arrived; nil if all of it has.
	Err error
}

// Loaded reports whether the whole table has been read at least once, even if it was empty.
func (t *Table) Loaded() bool {
	_, version := t.local.position()
	return version > 0
}

// Failing reports whether the most recent call to the store failed. ErrCompacted does not
// count as a failure, since the store has answered.
func (t *Table) Failing() bool { return t.failing.Load() }

// RecoveredAt returns when the store last became reachable after a failure or was last rolled
// back to an older snapshot. It returns the present time while the store fails, and false if
// neither has ever happened.
func (t *Table) RecoveredAt() (time.Time, bool) {
	if t.failing.Load() {
		return time.Now(), true
	}
	recoveredAt := t.recoveredAt.Load()
	if recoveredAt == nil {
		return time.Time{}, false
	}
	return *recoveredAt, true
}

// Position returns the version up to which the copy is complete, and the store era of that version.
func (t *Table) Position() (era, version uint64) { return t.local.position() }

// Current returns the most recent call to the store, which may still be waiting for its answer; nil before
// the first one.
func (t *Table) Current() *table.Transfer { return t.current.Load() }

// Age returns the time since the start of the most recent successful call to the store, or
// since Init if no call has succeeded.
func (t *Table) Age() time.Duration { return time.Since(*t.lastConfirmed.Load()) }

// Init initializes the table. It must be called before any other method.
func (t *Table) Init() {
	t.peerHints = make(chan hint, 1)
	if t.PollWait == 0 {
		t.PollWait = defaultPollWait
	}
	now := time.Now()
	t.lastConfirmed.Store(&now)
}

// Run keeps the copy up to date until ctx ends. It always returns nil.
func (t *Table) Run(ctx context.Context) error {
	t.local.valid = t.Valid
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.pollPeers(ctx)
	}()
	t.followStore(ctx)
	<-done
	return nil
}

// followStore reads the whole table, then its changes, until ctx ends. It reads the whole
// table again once the store no longer has the changes.
func (t *Table) followStore(ctx context.Context) {
	loaded := false
	var backoff time.Duration
	for ctx.Err() == nil {
		start := time.Now()
		err := t.syncOnce(ctx, loaded)
		loaded = loaded && !errors.Is(err, table.ErrCompacted) || !loaded && err == nil
		t.recordResult(start, err)
		if err == nil || errors.Is(err, table.ErrCompacted) {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, initialBackoff), maxBackoff)
		sleep(ctx, backoff/2+rand.N(backoff))
	}
}

// syncOnce reads the whole table if it is not loaded, and otherwise polls for changes once.
func (t *Table) syncOnce(ctx context.Context, loaded bool) error {
	if !loaded {
		return t.load(ctx)
	}
	wait := t.PollWait
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	t.cancelPoll.Store(&cancel)
	if t.failing.Load() {
		// Any answer shows that the store has recovered, so the poll need not wait for a change.
		wait = 0
	}
	era, since := t.local.position()
	transfer := t.beginCall()
	page, err := t.Watch(table.WithTransfer(ctx, transfer), t.Name, since, wait)
	t.reportEra(page.Stamp)
	t.reportBroken(transfer, err)
	switch {
	case err != nil && t.superseded(era):
		return fmt.Errorf("watch table %q: %w: %w", t.Name, table.ErrCompacted, err)
	case err != nil:
		return fmt.Errorf("watch table %q: %w", t.Name, err)
	case page.Era != era:
		return fmt.Errorf("watch table %q: store era is now %d: %w", t.Name, page.Era, table.ErrCompacted)
	}
	t.merge(change{era: era, version: page.Version, rows: page.Rows}, Source{Transfer: transfer})
	return nil
}

// beginCall returns the record of a call to the store that is about to start.
func (t *Table) beginCall() *table.Transfer {
	transfer := table.NewTransfer()
	t.current.Store(transfer)
	return transfer
}

// reportBroken passes a call that has failed after a part of its answer had arrived to OnTransfer.
func (t *Table) reportBroken(transfer *table.Transfer, err error) {
	if err != nil && transfer.Answered() && !transfer.Complete() && t.OnTransfer != nil {
		t.OnTransfer(Result{Source: Source{Transfer: transfer}, Err: err})
	}
}

// reportEra passes the stamp of an answer to OnEra.
func (t *Table) reportEra(stamp table.Stamp) {
	if t.OnEra != nil {
		t.OnEra(stamp)
	}
}

// ObserveEra records that the store has answered another call in the given era. If the era is
// later than that of the copy, it cancels the running poll, which waits for a version of
// the earlier era.
func (t *Table) ObserveEra(era uint64) {
	if current, _ := t.local.position(); era <= current {
		return
	}
	for {
		latest := t.latestEra.Load()
		if latest >= era {
			return
		}
		if t.latestEra.CompareAndSwap(latest, era) {
			break
		}
	}
	if cancel := t.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
}

// superseded reports whether the store has answered another call in a later era.
func (t *Table) superseded(era uint64) bool { return t.latestEra.Load() > era }

// merge applies a change to the copy and passes the changed rows to OnRows.
func (t *Table) merge(c change, from Source) {
	changed, newEra := t.local.merge(c, t.Newer, from, t.OnRows)
	if newEra {
		// Rows that the rolled-back store lacks may be written again, as after an outage.
		now := time.Now()
		t.recoveredAt.Store(&now)
	}
	if len(c.rows) > 0 && t.OnTransfer != nil {
		from.RolledBack = newEra
		t.OnTransfer(Result{Source: from, Changed: changed})
	}
}

// load reads the whole table, page by page. Later pages may be newer than the first; the
// change feed since the first page repeats what changed in between.
func (t *Table) load(ctx context.Context) error {
	r := table.Range{Table: t.Name, Limit: rowsPerPage}
	var rows []table.Row
	var first table.Stamp
	for {
		transfer := t.beginCall()
		page, err := t.read(table.WithTransfer(ctx, transfer), r)
		t.reportEra(page.Stamp)
		t.reportBroken(transfer, err)
		if err != nil {
			return fmt.Errorf("read table %q: %w", t.Name, err)
		}
		if first.Version == 0 {
			first = page.Stamp
		}
		if page.Era != first.Era {
			return fmt.Errorf("read table %q: store era changed to %d: %w", t.Name, page.Era, table.ErrUnavailable)
		}
		rows = append(rows, page.Rows...)
		if !page.HasMore || len(page.Rows) == 0 {
			break
		}
		r.From = table.KeyAfter(page.Rows[len(page.Rows)-1].Key)
	}
	t.merge(change{era: first.Era, version: first.Version, rows: rows, snapshot: true}, Source{Transfer: t.Current()})
	return nil
}

func (t *Table) read(ctx context.Context, r table.Range) (table.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return t.Read(ctx, r)
}

// recordResult records the result of a call that started at the given time, and calls
// OnReachabilityChange if the store has failed or recovered with it. A successful call proves that the
// store was reachable from the start of the call on.
func (t *Table) recordResult(start time.Time, err error) {
	failing := err != nil && !errors.Is(err, table.ErrCompacted)
	age := t.Age()
	if !failing {
		t.lastConfirmed.Store(&start)
		err = nil
	}
	if failing == t.failing.Load() {
		return
	}
	if !failing {
		t.recoveredAt.Store(&start)
	}
	t.failing.Store(failing)
	if t.OnReachabilityChange != nil {
		t.OnReachabilityChange(err, age)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
