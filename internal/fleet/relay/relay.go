package relay

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	maxPeers             = 3 // maximum number of peers tried for one operation
	defaultAvoidDuration = 2 * time.Second
	defaultTimeout       = 2 * time.Second // of a relayed operation whose context has no deadline
)

// relayed counts the operations that this router sent through a peer, under "asked", and
// those that it tried directly for a peer, under "carried".
var relayed = expvar.NewMap("table_relayed")

// Table performs operations on the platform's table, directly or through a peer. The
// exported fields are set before the first operation.
type Table struct {
	// DirectCommit, DirectGet and DirectScan are the functions of the table's client.
	DirectCommit func(ctx context.Context, c table.Commit) (uint64, error)
	DirectGet    func(ctx context.Context, keys ...string) ([]table.Row, error)
	DirectScan   func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// Call calls a method of the inner protocol on the router at addr, with the errors of
	// peer.Transport.Call.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// PeerAddrs returns the inner addresses of routers that may reach the table. They are
	// tried in that order, except that the peer used last comes first.
	PeerAddrs func() []string
	// AvoidDirectFor is the time for which peers are tried before the direct route after the
	// direct route has failed. The default is 2 seconds.
	AvoidDirectFor time.Duration

	// outcomeOverride replaces commitOutcome in tests; nil otherwise.
	outcomeOverride func(ack inner.TableAck, err error) error

	mu               sync.Mutex // guards avoidDirectUntil and lastPeer
	avoidDirectUntil time.Time  // peers are tried first until this time
	lastPeer         string     // the peer that was used for the most recent relayed operation
}

// attempt performs an operation by one route: directly or through one peer.
type attempt func(ctx context.Context) error

// Commit applies c directly, or through a peer if the table cannot be reached, and
// returns the table's version.
//
// Errors are those of the table's client. A commit is sent by another route only if the
// previous route has surely not applied it.
func (t *Table) Commit(ctx context.Context, c table.Commit) (uint64, error) {
	var version uint64
	direct := func(ctx context.Context) error {
		var err error
		version, err = t.DirectCommit(ctx, c)
		return err
	}
	viaPeer := func(addr string) attempt {
		return func(ctx context.Context) error {
			var ack inner.TableAck
			in := inner.TableCommit{Commit: c, TimeoutMS: remainingMS(ctx)}
			err := t.Call(ctx, addr, inner.MethodTableCommit, in, &ack)
			version = ack.Version
			if t.outcomeOverride != nil {
				return t.outcomeOverride(ack, err)
			}
			return commitOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, viaPeer); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return version, nil
}

// Get reads the rows with the keys directly, or through a peer if the table cannot be
// reached. Errors are those of the table's client.
func (t *Table) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	var rows []table.Row
	direct := func(ctx context.Context) error {
		var err error
		rows, err = t.DirectGet(ctx, keys...)
		return err
	}
	viaPeer := func(addr string) attempt {
		return func(ctx context.Context) error {
			var ack inner.TableAck
			err := t.Call(ctx, addr, inner.MethodTableGet, inner.TableGet{Keys: keys, TimeoutMS: remainingMS(ctx)}, &ack)
			rows = ack.Rows
			return readOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, viaPeer); err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	return rows, nil
}

// Scan reads at most limit rows whose keys start with prefix and sort after the key
// after. It reads directly, or through a peer if the table cannot be reached. Errors
// are those of the table's client.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	direct := func(ctx context.Context) error {
		var err error
		rows, err = t.DirectScan(ctx, prefix, after, limit)
		return err
	}
	viaPeer := func(addr string) attempt {
		return func(ctx context.Context) error {
			in := inner.TableScan{Prefix: prefix, After: after, Limit: limit, TimeoutMS: remainingMS(ctx)}
			var ack inner.TableAck
			err := t.Call(ctx, addr, inner.MethodTableScan, in, &ack)
			rows = ack.Rows
			return readOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, viaPeer); err != nil {
		return nil, fmt.Errorf("scan rows %q: %w", prefix, err)
	}
	return rows, nil
}

// run tries the direct route and then the peers. For some time after the direct route
// has failed it tries the peers first. It tries the next route only after an error that
// wraps table.ErrUnreachable, which means that nothing was applied.
func (t *Table) run(ctx context.Context, direct attempt, viaPeer func(addr string) attempt) error {
	avoidDirect := t.directAvoided()
	var last error
	if !avoidDirect {
		if last = t.runDirect(ctx, direct); !errors.Is(last, table.ErrUnreachable) {
			return last
		}
	}
	for _, addr := range t.candidates() {
		err := viaPeer(addr)(ctx)
		if !errors.Is(err, table.ErrUnreachable) {
			t.rememberPeer(addr)
			return err
		}
		last = err
	}
	if avoidDirect {
		return t.runDirect(ctx, direct)
	}
	return last
}

// runDirect tries the direct route. If the table is not reached or the outcome is
// unknown, later operations avoid the direct route for some time.
func (t *Table) runDirect(ctx context.Context, direct attempt) error {
	err := direct(ctx)
	if errors.Is(err, table.ErrUnreachable) || errors.Is(err, table.ErrUnknownOutcome) {
		t.avoidDirect()
	}
	return err
}

// directAvoided reports whether peers are currently tried before the direct route.
func (t *Table) directAvoided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.avoidDirectUntil)
}

func (t *Table) avoidDirect() {
	avoidDuration := t.AvoidDirectFor
	if avoidDuration == 0 {
		avoidDuration = defaultAvoidDuration
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidDirectUntil = time.Now().Add(avoidDuration)
}

// rememberPeer counts a relayed operation and makes its peer the first candidate.
func (t *Table) rememberPeer(addr string) {
	relayed.Add("asked", 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastPeer = addr
}

// candidates returns the peers to try, at most maxPeers, beginning with the one used
// for the most recent relayed operation.
func (t *Table) candidates() []string {
	t.mu.Lock()
	lastPeer := t.lastPeer
	t.mu.Unlock()
	var out []string
	for _, addr := range t.PeerAddrs() {
		if addr == lastPeer {
			out = append([]string{addr}, out...)
		} else {
			out = append(out, addr)
		}
	}
	return out[:min(maxPeers, len(out))]
}

// remainingMS returns the time until the deadline of ctx in milliseconds, at least 1.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout.Milliseconds()
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// commitOutcome returns the error of a commit that was relayed to a peer. If the call
// failed after the peer may have started it, the outcome is unknown.
func commitOutcome(ack inner.TableAck, err error) error {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return fmt.Errorf("relay: %w: %w: %w", table.ErrUnavailable, table.ErrUnreachable, err)
	case err != nil:
		return fmt.Errorf("relay: %w: %w", table.ErrUnknownOutcome, err)
	}
	switch ack.Outcome {
	case inner.OutcomeApplied:
		return nil
	case inner.OutcomeConflict:
		return &table.ConflictError{Rows: ack.Rows}
	case inner.OutcomeRefused:
		return refusedError(ack)
	default:
		return fmt.Errorf("relay: %w", table.ErrUnknownOutcome)
	}
}

// readOutcome returns the error of a read that was relayed to a peer. A failed call
// counts as table.ErrUnreachable, since retrying a read is always safe.
func readOutcome(ack inner.TableAck, err error) error {
	if err != nil {
		return fmt.Errorf("relay: %w: %w: %w", table.ErrUnavailable, table.ErrUnreachable, err)
	}
	if ack.Outcome != inner.OutcomeApplied {
		return refusedError(ack)
	}
	return nil
}

// refusedError returns the error of an operation that the peer or the table refused.
func refusedError(ack inner.TableAck) error {
	if ack.Unreachable {
		return fmt.Errorf("relay: %w: %w", table.ErrUnavailable, table.ErrUnreachable)
	}
	return fmt.Errorf("relay: %w", table.ErrUnavailable)
}
