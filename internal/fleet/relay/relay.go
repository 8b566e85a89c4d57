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
	maxPeers        = 3 // peers that are asked for one operation
	defaultMemory   = 2 * time.Second
	defaultDeadline = 2 * time.Second
)

var relayed = expvar.NewMap("table_relayed")

// Table is the platform's table as reached directly or through a peer.
type Table struct {
	// DirectCommit, DirectGet and DirectScan reach the table without a peer.
	DirectCommit func(ctx context.Context, c table.Commit) (uint64, error)
	DirectGet    func(ctx context.Context, keys ...string) ([]table.Row, error)
	DirectScan   func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// Call sends an inner message to a router.
	Call func(ctx context.Context, addr, method string, in, out any) error
	// Peers returns the inner addresses of routers that may reach the table.
	Peers func() []string
	// Memory is how long the direct way is left aside after it failed.
	Memory time.Duration

	// outcome translates the end of a relayed commit; tests replace it.
	outcome func(ack inner.TableAck, err error) error

	mu      sync.Mutex // guards the fields below
	avoid   time.Time  // until when peers are asked first
	working string     // the peer that carried the last operation
}

// way performs one operation over one way.
type way func(ctx context.Context) error

// Commit commits directly, or through a peer if the table is not reached.
//
// Errors are those of the table's client. A commit is only sent over another way
// after the former one has surely not applied it.
func (t *Table) Commit(ctx context.Context, c table.Commit) (uint64, error) {
	var version uint64
	direct := func(ctx context.Context) error {
		var err error
		version, err = t.DirectCommit(ctx, c)
		return err
	}
	through := func(addr string) way {
		return func(ctx context.Context) error {
			var ack inner.TableAck
			in := inner.TableCommit{Commit: c, TimeoutMS: remaining(ctx)}
			err := t.Call(ctx, addr, inner.MethodTableCommit, in, &ack)
			version = ack.Version
			if t.outcome != nil {
				return t.outcome(ack, err)
			}
			return commitOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, through); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return version, nil
}

// Get gets rows directly, or through a peer if the table is not reached.
func (t *Table) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	var rows []table.Row
	direct := func(ctx context.Context) error {
		var err error
		rows, err = t.DirectGet(ctx, keys...)
		return err
	}
	through := func(addr string) way {
		return func(ctx context.Context) error {
			var ack inner.TableAck
			err := t.Call(ctx, addr, inner.MethodTableGet, inner.TableGet{Keys: keys, TimeoutMS: remaining(ctx)}, &ack)
			rows = ack.Rows
			return readOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, through); err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	return rows, nil
}

// Scan scans rows directly, or through a peer if the table is not reached.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	direct := func(ctx context.Context) error {
		var err error
		rows, err = t.DirectScan(ctx, prefix, after, limit)
		return err
	}
	through := func(addr string) way {
		return func(ctx context.Context) error {
			in := inner.TableScan{Prefix: prefix, After: after, Limit: limit, TimeoutMS: remaining(ctx)}
			var ack inner.TableAck
			err := t.Call(ctx, addr, inner.MethodTableScan, in, &ack)
			rows = ack.Rows
			return readOutcome(ack, err)
		}
	}
	if err := t.run(ctx, direct, through); err != nil {
		return nil, fmt.Errorf("scan rows %q: %w", prefix, err)
	}
	return rows, nil
}

// run tries the direct way and then peers, or the other way round while the direct
// way is known to fail. Only an operation that did not get through is tried again.
func (t *Table) run(ctx context.Context, direct way, through func(addr string) way) error {
	avoided := t.avoided()
	var last error
	if !avoided {
		if last = t.runDirect(ctx, direct); !errors.Is(last, table.ErrUnreachable) {
			return last
		}
	}
	for _, addr := range t.candidates() {
		err := through(addr)(ctx)
		if !errors.Is(err, table.ErrUnreachable) {
			t.remember(addr)
			return err
		}
		last = err
	}
	if avoided {
		return t.runDirect(ctx, direct)
	}
	return last
}

func (t *Table) runDirect(ctx context.Context, direct way) error {
	err := direct(ctx)
	if errors.Is(err, table.ErrUnreachable) || errors.Is(err, table.ErrUnknownOutcome) {
		t.avoidDirect()
	}
	return err
}

func (t *Table) avoided() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.avoid)
}

func (t *Table) avoidDirect() {
	memory := t.Memory
	if memory == 0 {
		memory = defaultMemory
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid = time.Now().Add(memory)
}

func (t *Table) remember(addr string) {
	relayed.Add("asked", 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.working = addr
}

// candidates returns the peers to ask, the one that worked last first.
func (t *Table) candidates() []string {
	t.mu.Lock()
	working := t.working
	t.mu.Unlock()
	var out []string
	for _, addr := range t.Peers() {
		if addr == working {
			out = append([]string{addr}, out...)
		} else {
			out = append(out, addr)
		}
	}
	return out[:min(maxPeers, len(out))]
}

func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline.Milliseconds()
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// commitOutcome translates a relayed commit's end. A call that may have begun has an unknown outcome.
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
		return refused(ack)
	default:
		return fmt.Errorf("relay: %w", table.ErrUnknownOutcome)
	}
}

// readOutcome translates a relayed read's end; a read may be tried again whatever happened.
func readOutcome(ack inner.TableAck, err error) error {
	if err != nil {
		return fmt.Errorf("relay: %w: %w: %w", table.ErrUnavailable, table.ErrUnreachable, err)
	}
	if ack.Outcome != inner.OutcomeApplied {
		return refused(ack)
	}
	return nil
}

func refused(ack inner.TableAck) error {
	if ack.Unreachable {
		return fmt.Errorf("relay: %w: %w", table.ErrUnavailable, table.ErrUnreachable)
	}
	return fmt.Errorf("relay: %w", table.ErrUnavailable)
}
