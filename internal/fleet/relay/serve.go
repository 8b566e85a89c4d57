package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// The handlers use only the direct route, so that an operation is relayed at most once.

// HandleCommit applies a commit for a peer. It refuses the commit at once as unreachable
// while this router avoids the direct route.
func (t *Table) HandleCommit(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableCommit
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode commit: %w", err)
	}
	if t.directAvoided() {
		return inner.TableAck{Outcome: inner.OutcomeRefused, Unreachable: true}, nil
	}
	ctx, cancel := withTimeoutMS(ctx, in.TimeoutMS)
	defer cancel()
	var version uint64
	err := t.runDirect(ctx, func(ctx context.Context) error {
		var err error
		version, err = t.DirectCommit(ctx, in.Commit)
		return err
	})
	return withOutcome(inner.TableAck{Version: version}, err), nil
}

// HandleGet reads rows by key for a peer.
func (t *Table) HandleGet(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableGet
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode get: %w", err)
	}
	return t.read(ctx, in.TimeoutMS, func(ctx context.Context) ([]table.Row, error) { return t.DirectGet(ctx, in.Keys...) })
}

// HandleScan reads the rows of a prefix for a peer.
func (t *Table) HandleScan(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableScan
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode scan: %w", err)
	}
	return t.read(ctx, in.TimeoutMS, func(ctx context.Context) ([]table.Row, error) {
		return t.DirectScan(ctx, in.Prefix, in.After, in.Limit)
	})
}

// read runs f by the direct route and returns its rows and outcome as an inner.TableAck.
func (t *Table) read(ctx context.Context, timeoutMS int64, f func(ctx context.Context) ([]table.Row, error)) (any, error) {
	ctx, cancel := withTimeoutMS(ctx, timeoutMS)
	defer cancel()
	var rows []table.Row
	err := t.runDirect(ctx, func(ctx context.Context) error {
		var err error
		rows, err = f(ctx)
		return err
	})
	return withOutcome(inner.TableAck{Rows: rows}, err), nil
}

// withTimeoutMS returns ctx with a timeout in milliseconds.
func withTimeoutMS(ctx context.Context, timeoutMS int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(timeoutMS)*time.Millisecond)
}

// withOutcome returns the reply to a relayed operation: ack if err is nil, and otherwise
// the outcome that err stands for. It counts the operation in relayed.
func withOutcome(ack inner.TableAck, err error) inner.TableAck {
	relayed.Add("carried", 1)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		ack.Outcome = inner.OutcomeApplied
	case errors.As(err, &conflict):
		return inner.TableAck{Outcome: inner.OutcomeConflict, Rows: conflict.Rows}
	case errors.Is(err, table.ErrUnavailable):
		return inner.TableAck{Outcome: inner.OutcomeRefused, Unreachable: errors.Is(err, table.ErrUnreachable)}
	default:
		return inner.TableAck{Outcome: inner.OutcomeUnknown}
	}
	return ack
}
