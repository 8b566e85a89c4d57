package reclaim

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/inner"
)

const defaultInterval = 5 * time.Second

// ErrNoRun reports that a target does not know a run.
var ErrNoRun = errors.New("target does not know the run")

// Reclaimer closes holdings whose holders are suspected and resolves what they left open.
type Reclaimer struct {
	// Ledger closes and resolves holdings.
	Ledger *ledger.Ledger
	// Interval is the time between sweeps.
	Interval time.Duration
	// Due reports whether this router sweeps now; it saves work and decides nothing.
	Due func() bool
	// Suspected reports whether the holder is believed to be dead.
	Suspected func(holder string) bool
	// Abandoned reports whether the holder has been away so long that its runs are cancelled.
	Abandoned func(holder string) bool
	// Departed reports whether the holder is surely gone.
	Departed func(holder string) bool
	// TargetGone reports whether the target is surely gone.
	TargetGone func(addr string) bool
	// Seal asks the witness of the term to seal the book.
	Seal func(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error)
	// Cancel stops a run and returns what it used; ErrNoRun says that it never came.
	Cancel func(addr, attempt string) (chat.Usage, error)
	// OnError receives failures of sweeps, which are tried again.
	OnError func(err error)
}

// Run sweeps until ctx ends.
func (r *Reclaimer) Run(ctx context.Context) error {
	interval := r.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if r.Due != nil && !r.Due() {
			continue
		}
		if err := r.Sweep(ctx); err != nil && r.OnError != nil {
			r.OnError(err)
		}
	}
}

// Sweep reclaims what it can from all holdings of suspected holders.
func (r *Reclaimer) Sweep(ctx context.Context) error {
	rows, err := r.suspects(ctx)
	if err != nil {
		return err
	}
	var doubts []Doubt
	var failures error
	for _, row := range rows {
		cause, err := r.reclaim(ctx, row)
		if cause != CauseNone {
			doubts = append(doubts, newDoubt(row, cause))
		}
		failures = errors.Join(failures, err)
	}
	r.keep(doubts)
	return failures
}

// suspects returns the holdings whose holders are suspected.
func (r *Reclaimer) suspects(ctx context.Context) ([]ledger.HoldingRow, error) {
	var rows []ledger.HoldingRow
	err := r.Ledger.Holdings(ctx, "", func(row ledger.HoldingRow) error {
		if row.Holder != r.Ledger.Holder && r.Suspected(row.Holder) {
			rows = append(rows, row)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return rows, nil
}

// reclaim closes the holding, or resolves what is left of a closed one.
func (r *Reclaimer) reclaim(ctx context.Context, row ledger.HoldingRow) (Cause, error) {
	if row.Closed {
		return r.resolve(ctx, row)
	}
	if row.Term.Witness == "" {
		return CauseNoWitness, nil
	}
	evidence, err := r.Seal(ctx, row.Term, inner.WitnessSeal{
		Witness: row.Term.Witness,
		Holding: row.ID().String(),
		Term:    row.Term.Number,
	})
	if err != nil {
		return CauseWitnessLost, fmt.Errorf("seal holding %q: %w", row.ID(), err)
	}
	known := toEvidence(row, evidence)
	if err := r.Ledger.Close(ctx, row.ID(), row.Term, known); err != nil {
		return CauseNone, fmt.Errorf("reclaim: %w", err)
	}
	closed.Add(1)
	if len(known.Open) == 0 {
		return CauseNone, nil
	}
	row.Closed, row.Open = true, known.Open
	return r.resolve(ctx, row)
}

// resolve ends the open entries of a closed holding whose outcomes can be learnt.
func (r *Reclaimer) resolve(ctx context.Context, row ledger.HoldingRow) (Cause, error) {
	outcomes := make(map[string]ledger.Resolution)
	for _, e := range row.Open {
		outcomes[e.RunID] = r.outcome(row, e)
	}
	err := r.Ledger.Resolve(ctx, row.ID(), func(e ledger.Entry) ledger.Resolution { return outcomes[e.RunID] })
	if err != nil {
		return CauseOpenRuns, fmt.Errorf("reclaim: %w", err)
	}
	for _, o := range outcomes {
		if !o.Known {
			return CauseOpenRuns, nil
		}
	}
	return CauseNone, nil
}

// outcome learns what has become of an open entry.
//
// A run that the target does not know could still be sent by a holder that is only
// paused, so it counts as not run only when the holder is surely gone.
func (r *Reclaimer) outcome(row ledger.HoldingRow, e ledger.Entry) ledger.Resolution {
	departed := r.Departed(row.Holder)
	if e.Fixed {
		return ledger.Resolution{Known: departed, Bill: newBill(row, e, chat.Usage{CompletionTokens: e.Prompt})}
	}
	if !departed && !r.Abandoned(row.Holder) {
		return ledger.Resolution{}
	}
	usage, err := r.Cancel(e.Target, e.Attempt)
	switch {
	case err == nil && usage == (chat.Usage{}):
		return ledger.Resolution{Known: true}
	case err == nil:
		return ledger.Resolution{Known: true, Bill: newBill(row, e, usage)}
	case errors.Is(err, ErrNoRun):
		return ledger.Resolution{Known: departed}
	default:
		known := departed && r.TargetGone(e.Target)
		return ledger.Resolution{Known: known, Bill: newBill(row, e, chat.Usage{PromptTokens: e.Prompt})}
	}
}

// newBill returns the bill of an entry, cut to its worst case.
func newBill(row ledger.HoldingRow, e ledger.Entry, u chat.Usage) *ledger.BillRow {
	prompt := min(u.PromptTokens, e.Tokens)
	return &ledger.BillRow{
		Workspace:        row.Workspace,
		Budget:           row.Budget,
		RequestKey:       e.RequestKey,
		RequestID:        e.RunID,
		Holder:           row.Holder,
		PromptTokens:     prompt,
		CompletionTokens: min(u.CompletionTokens, e.Tokens-prompt),
		At:               time.Now().UTC(),
	}
}

// toEvidence sorts the entries of a sealed book.
func toEvidence(row ledger.HoldingRow, in inner.WitnessEvidence) ledger.Evidence {
	var out ledger.Evidence
	for _, e := range in.Entries {
		entry := ledger.Entry{
			RunID:      e.RunID,
			RequestKey: e.RequestKey,
			Target:     e.Target,
			Attempt:    e.Attempt,
			Tokens:     e.Tokens,
			Prompt:     e.Prompt,
			Fixed:      e.Fixed,
		}
		if e.State == inner.EntryOpen {
			out.Open = append(out.Open, entry)
			continue
		}
		bill := newBill(row, entry, chat.Usage{PromptTokens: e.PromptTokens, CompletionTokens: e.CompletionTokens})
		bill.At = e.At
		out.Bills = append(out.Bills, *bill)
	}
	return out
}
