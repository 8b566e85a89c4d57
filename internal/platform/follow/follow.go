package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/timeout"
	"rosevalve/internal/protocol/inner"
)

const (
	// defaultPollWait is the default of Table.PollWait.
	defaultPollWait = 2 * time.Second
	// minAnswerTimeout and maxAnswerTimeout bound how long an answer of the store may take to begin, beyond
	// the wait of a poll. In between it follows the answers before.
	minAnswerTimeout = 300 * time.Millisecond
	maxAnswerTimeout = 3 * time.Second
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
	// Read returns one page of rows, read at a single version. Its answer must begin within the timeout, but may take
	// longer as long as it makes progress.
	Read func(ctx context.Context, r table.Range, timeout time.Duration) (table.Page, error)
	// Watch returns the changes after a version. Its answer must begin within the timeout after the wait, but may
	// take longer as long as it makes progress.
	Watch func(ctx context.Context, p table.Poll, timeout time.Duration) (table.Page, error)
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
	// latency estimates how long the store's answers take to begin.
	latency timeout.Estimator
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
	// Era is the store era of the rows' versions.
	Era uint64
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
	t.latency = timeout.Estimator{MinTimeout: minAnswerTimeout, MaxTimeout: maxAnswerTimeout}
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.cancelPoll.Store(&cancel)
	era, since := t.local.position()
	poll := table.Poll{Table: t.Name, Since: since, Wait: t.PollWait, MaxBytes: t.local.maxAnswerBytes()}
	if t.failing.Load() {
		// Any answer shows that the store has recovered, so the poll need not wait for a change.
		poll.Wait = 0
	}
	page, transfer, err := t.call(ctx, poll.Wait, func(ctx context.Context, timeout time.Duration) (table.Page, error) {
		return t.Watch(ctx, poll, timeout)
	})
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

// call makes one call to the store, which waits there for the given time, and reports what came of it.
func (t *Table) call(ctx context.Context, wait time.Duration, do func(ctx context.Context, timeout time.Duration) (table.Page, error)) (table.Page, *table.Transfer, error) {
	transfer := table.NewTransfer()
	t.current.Store(transfer)
	timeout := t.latency.Timeout()
	page, err := do(table.WithTransfer(ctx, transfer), timeout)
	t.observeLatency(transfer, wait, timeout)
	t.reportEra(page.Stamp)
	brokenOff := err != nil && !errors.Is(err, table.ErrCompacted) && transfer.Answered() && !transfer.Complete()
	if brokenOff && t.OnTransfer != nil {
		t.OnTransfer(Result{Source: Source{Transfer: transfer}, Err: err})
	}
	return page, transfer, err
}

// observeLatency records how long the answer to a call took to begin, beyond its wait at the store. An answer before
// the end of the wait tells nothing, since the time of the change is not known.
func (t *Table) observeLatency(transfer *table.Transfer, wait, timeout time.Duration) {
	switch {
	case transfer.Answered() && transfer.Wait() >= wait:
		t.latency.ObserveLatency(transfer.Wait() - wait)
	case !transfer.Answered() && transfer.Elapsed() >= wait+timeout:
		t.latency.ObserveTimeout(timeout)
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
	var source Source
	for {
		page, transfer, err := t.call(ctx, 0, func(ctx context.Context, timeout time.Duration) (table.Page, error) {
			return t.Read(ctx, r, timeout)
		})
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
		source.Transfer = transfer
		if !page.HasMore || len(page.Rows) == 0 {
			break
		}
		r.From = table.KeyAfter(page.Rows[len(page.Rows)-1].Key)
	}
	t.merge(change{era: first.Era, version: first.Version, rows: rows, snapshot: true}, source)
	return nil
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
