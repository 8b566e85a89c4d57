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

// The handlers use the direct way only, so that an operation is relayed once at most.

// HandleCommit commits for a peer.
func (t *Table) HandleCommit(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableCommit
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode commit: %w", err)
	}
	if t.avoided() {
		return inner.TableAck{Outcome: inner.OutcomeRefused, Unreachable: true}, nil
	}
	ctx, cancel := within(ctx, in.TimeoutMS)
	defer cancel()
	var version uint64
	err := t.runDirect(ctx, func(ctx context.Context) error {
		var err error
		version, err = t.DirectCommit(ctx, in.Commit)
		return err
	})
	return acknowledge(inner.TableAck{Version: version}, err), nil
}

// HandleGet gets rows for a peer.
func (t *Table) HandleGet(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableGet
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode get: %w", err)
	}
	return t.read(ctx, in.TimeoutMS, func(ctx context.Context) ([]table.Row, error) { return t.DirectGet(ctx, in.Keys...) })
}

// HandleScan scans rows for a peer.
func (t *Table) HandleScan(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TableScan
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode scan: %w", err)
	}
	return t.read(ctx, in.TimeoutMS, func(ctx context.Context) ([]table.Row, error) {
		return t.DirectScan(ctx, in.Prefix, in.After, in.Limit)
	})
}

func (t *Table) read(ctx context.Context, timeoutMS int64, f func(ctx context.Context) ([]table.Row, error)) (any, error) {
	ctx, cancel := within(ctx, timeoutMS)
	defer cancel()
	var rows []table.Row
	err := t.runDirect(ctx, func(ctx context.Context) error {
		var err error
		rows, err = f(ctx)
		return err
	})
	return acknowledge(inner.TableAck{Rows: rows}, err), nil
}

func within(ctx context.Context, timeoutMS int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(timeoutMS)*time.Millisecond)
}

// acknowledge adds the outcome to what was read or written.
func acknowledge(ack inner.TableAck, err error) inner.TableAck {
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
