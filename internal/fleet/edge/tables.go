package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// slowReadTime is how long an answer of the store may take to arrive before the log says so.
const slowReadTime = time.Second

// followedTables returns the tables of which this router keeps a copy.
func (e *Edge) followedTables() []*follow.Table {
	return []*follow.Table{e.configTable, e.targetTable, e.blockTable}
}

// follow returns a table that keeps a local copy of the store's table of that name. It must be run.
func (e *Edge) follow(name string, onRows func(rows []table.Row, from follow.Source)) *follow.Table {
	t := &follow.Table{
		Name:        name,
		Read:        e.readTable,
		Watch:       e.store.Watch,
		RequestRows: e.fetchRows,
		OnRows:      onRows,
		OnEra:       e.propagateEra,
		OnTransfer:  func(r follow.Result) { e.recordTransfer(name, r) },
		OnReachabilityChange: func(err error, age time.Duration) {
			if err != nil {
				e.Events.Emit(eventlog.StoreLost, "table", name, "age_ms", age.Milliseconds(), "err", err)
				return
			}
			e.Events.Emit(eventlog.StoreRecovered, "table", name, "away_ms", age.Milliseconds())
		},
	}
	t.Init()
	return t
}

// readTable reads a page of a followed table and records the call in the metrics.
func (e *Edge) readTable(ctx context.Context, r table.Range, timeout time.Duration) (table.Page, error) {
	began := time.Now()
	page, err := e.store.Read(ctx, r, timeout)
	e.metrics.recordCall("store_read", time.Since(began), err)
	return page, err
}

// recordTransfer counts the rows that one call for rows has brought, and logs a call that broke off.
func (e *Edge) recordTransfer(name string, r follow.Result) {
	e.metrics.recordTransfer(name, r)
	if r.Err != nil {
		e.Events.Emit(eventlog.TableReadBroken, "table", name, "bytes", r.Transfer.Bytes(), "wait_ms", r.Transfer.Wait().Milliseconds(),
			"read_ms", r.Transfer.Reading().Milliseconds(), "err", r.Err)
	}
}

// logSlowReads logs each answer of the store that has been arriving for longer than slowReadTime, once. Only
// maintain may call it.
func (e *Edge) logSlowReads() {
	for _, t := range e.followedTables() {
		transfer := t.Current()
		if transfer == nil || transfer.Complete() || transfer.Reading() < slowReadTime || e.slowReads[t.Name] == transfer {
			continue
		}
		e.slowReads[t.Name] = transfer
		e.Events.Emit(eventlog.TableReadSlow, "table", t.Name, "bytes", transfer.Bytes(), "wait_ms", transfer.Wait().Milliseconds(),
			"read_ms", transfer.Reading().Milliseconds())
	}
}

// TableState describes the copy of one table of the store.
type TableState struct {
	Name    string `json:"name"`
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"` // version up to which the copy is complete
	AgeMS   int64  `json:"age_ms"`  // since the store last confirmed the copy
	Failing bool   `json:"failing"` // the last call to the store failed
	// ReadBytes is the part of the answer to the call in progress that has arrived, in the time ReadMS; both
	// are 0 while the call waits for an answer.
	ReadBytes int64 `json:"read_bytes"`
	ReadMS    int64 `json:"read_ms"`
}

// tableStates returns the states of the followed tables.
func (e *Edge) tableStates() []TableState {
	var out []TableState
	for _, t := range e.followedTables() {
		s := TableState{Name: t.Name, AgeMS: t.Age().Milliseconds(), Failing: t.Failing()}
		s.Era, s.Version = t.Position()
		if transfer := t.Current(); transfer != nil && !transfer.Complete() {
			s.ReadBytes, s.ReadMS = transfer.Bytes(), transfer.Reading().Milliseconds()
		}
		out = append(out, s)
	}
	return out
}

// fetchRows requests the rows of a followed table from the router at addr, or from a random
// known router if addr is empty.
func (e *Edge) fetchRows(ctx context.Context, addr string, in inner.FollowRequest) (inner.FollowResponse, error) {
	var out inner.FollowResponse
	if addr == "" {
		peers := e.reachablePeers()
		if len(peers) == 0 {
			peers = e.settings().Fleet.Seeds
		}
		if len(peers) == 0 {
			return out, errors.New("no other router is known")
		}
		addr = peers[rand.IntN(len(peers))]
	}
	err := e.transport.Fetch(ctx, addr, inner.MethodFollow, in, &out)
	return out, err
}

// handleFollow answers a router that requests the rows of a followed table.
func (e *Edge) handleFollow(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.FollowRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode follow request: %w", err)
	}
	for _, t := range e.followedTables() {
		if t.Name == in.Table {
			return t.ChangesSince(in), nil
		}
	}
	return nil, fmt.Errorf("table %q is not followed", in.Table)
}
