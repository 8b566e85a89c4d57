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

// defaultInterval is the time between sweeps if Reclaimer.Interval is zero.
const defaultInterval = 5 * time.Second

// ErrUnknownRun reports that the target has no record of the run.
var ErrUnknownRun = errors.New("target does not know the run")

// Reclaimer closes the holdings of routers suspected to be dead and resolves the
// open entries of the closed holdings at their targets.
type Reclaimer struct {
	// Ledger applies the changes to the holdings in the table.
	Ledger *ledger.Ledger
	// Interval is the time between sweeps; zero selects 5 s.
	Interval time.Duration
	// ShouldSweep reports whether this router performs the next sweep; nil means always. It only
	// avoids redundant work: correctness does not depend on which routers sweep.
	ShouldSweep func() bool
	// IsSuspected reports whether the holder is suspected to be dead; it may only be paused.
	IsSuspected func(holder string) bool
	// MayCancelRuns reports whether the holder has been missing long enough for its runs to be cancelled.
	MayCancelRuns func(holder string) bool
	// HolderGone reports whether the holder is certain to have stopped for good.
	HolderGone func(holder string) bool
	// TargetGone reports whether the target is certain to have stopped for good.
	TargetGone func(addr string) bool
	// Seal asks the witness of the term to seal its book and returns the entries of the book.
	Seal func(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error)
	// Cancel stops a run at its target and returns its usage, or ErrUnknownRun if the target has no record of it.
	Cancel func(addr, attempt string) (chat.Usage, error)
	// OnError, if not nil, receives the error of a failed sweep; the next sweep retries.
	OnError func(err error)
}

// Run sweeps once per Interval until ctx ends.
func (r *Reclaimer) Run(ctx context.Context) error {
	interval := r.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if r.ShouldSweep != nil && !r.ShouldSweep() {
			continue
		}
		if err := r.Sweep(ctx); err != nil && r.OnError != nil {
			r.OnError(err)
		}
	}
}

// Sweep closes and resolves the holdings of all suspected holders as far as
// possible. It continues after a holding that fails and returns the joined errors.
func (r *Reclaimer) Sweep(ctx context.Context) error {
	rows, err := r.suspectedHoldings(ctx)
	if err != nil {
		return err
	}
	var inDoubt []InDoubtHolding
	var errs error
	for _, row := range rows {
		cause, err := r.reclaim(ctx, row)
		if cause != CauseNone {
			inDoubt = append(inDoubt, newInDoubtHolding(row, cause))
		}
		errs = errors.Join(errs, err)
	}
	r.publishMetrics(inDoubt)
	return errs
}

// suspectedHoldings returns the holdings of other routers that are suspected to be dead.
func (r *Reclaimer) suspectedHoldings(ctx context.Context) ([]ledger.HoldingRow, error) {
	var rows []ledger.HoldingRow
	err := r.Ledger.Holdings(ctx, "", func(row ledger.HoldingRow) error {
		if row.Holder != r.Ledger.Holder && r.IsSuspected(row.Holder) {
			rows = append(rows, row)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return rows, nil
}

// reclaim closes the holding on the record of its witness and resolves its open
// entries. It returns the reason why tokens remain in doubt, or CauseNone.
func (r *Reclaimer) reclaim(ctx context.Context, row ledger.HoldingRow) (Cause, error) {
	if row.Closed {
		return r.resolve(ctx, row)
	}
	if row.Term.Witness == "" {
		return CauseNoWitness, nil
	}
	sealed, err := r.Seal(ctx, row.Term, inner.WitnessSeal{
		Witness: row.Term.Witness,
		Holding: row.ID().String(),
		Term:    row.Term.Number,
	})
	if err != nil {
		return CauseWitnessLost, fmt.Errorf("seal holding %q: %w", row.ID(), err)
	}
	record := toWitnessRecord(row, sealed)
	if err := r.Ledger.Close(ctx, row.ID(), row.Term, record); err != nil {
		return CauseNone, fmt.Errorf("reclaim: %w", err)
	}
	holdingsClosed.Add(1)
	if len(record.OpenEntries) == 0 {
		return CauseNone, nil
	}
	row.Closed, row.OpenEntries = true, record.OpenEntries
	return r.resolve(ctx, row)
}

// resolve removes the open entries of a closed holding whose outcomes can be determined.
func (r *Reclaimer) resolve(ctx context.Context, row ledger.HoldingRow) (Cause, error) {
	outcomes := make(map[string]ledger.EntryOutcome)
	for _, e := range row.OpenEntries {
		outcomes[e.RunID] = r.entryOutcome(row, e)
	}
	err := r.Ledger.Resolve(ctx, row.ID(), func(e ledger.Entry) ledger.EntryOutcome { return outcomes[e.RunID] })
	if err != nil {
		return CauseOpenRuns, fmt.Errorf("reclaim: %w", err)
	}
	for _, outcome := range outcomes {
		if !outcome.Final {
			return CauseOpenRuns, nil
		}
	}
	return CauseNone, nil
}

// entryOutcome determines the outcome of an open entry.
//
// A paused holder could still send a run that the target has no record of, so such
// a run counts as not run only once the holder is gone. A fixed-price call cannot
// be cancelled and is billed at its price. If the target has stopped as well, the
// usage cannot be determined and only the prompt is billed.
func (r *Reclaimer) entryOutcome(row ledger.HoldingRow, e ledger.Entry) ledger.EntryOutcome {
	holderGone := r.HolderGone(row.Holder)
	if e.FixedPrice {
		return ledger.EntryOutcome{Final: holderGone, Bill: newBill(row, e, chat.Usage{CompletionTokens: e.FallbackTokens})}
	}
	if !holderGone && !r.MayCancelRuns(row.Holder) {
		return ledger.EntryOutcome{}
	}
	usage, err := r.Cancel(e.Target, e.AttemptID)
	switch {
	case err == nil && usage == (chat.Usage{}):
		return ledger.EntryOutcome{Final: true}
	case err == nil:
		return ledger.EntryOutcome{Final: true, Bill: newBill(row, e, usage)}
	case errors.Is(err, ErrUnknownRun):
		return ledger.EntryOutcome{Final: holderGone}
	default:
		known := holderGone && r.TargetGone(e.Target)
		return ledger.EntryOutcome{Final: known, Bill: newBill(row, e, chat.Usage{PromptTokens: e.FallbackTokens})}
	}
}

// newBill returns the bill of an entry, with the usage limited to the entry's worst case.
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
		BilledAt:         time.Now().UTC(),
	}
}

// toWitnessRecord converts the entries of a sealed book to open entries and bills.
func toWitnessRecord(row ledger.HoldingRow, in inner.WitnessEvidence) ledger.WitnessRecord {
	var out ledger.WitnessRecord
	for _, e := range in.Entries {
		entry := ledger.Entry{
			RunID:          e.RunID,
			RequestKey:     e.RequestKey,
			Target:         e.Target,
			AttemptID:      e.Attempt,
			Tokens:         e.Tokens,
			FallbackTokens: e.Prompt,
			FixedPrice:     e.Fixed,
		}
		if e.State == inner.EntryOpen {
			out.OpenEntries = append(out.OpenEntries, entry)
			continue
		}
		bill := newBill(row, entry, chat.Usage{PromptTokens: e.PromptTokens, CompletionTokens: e.CompletionTokens})
		bill.BilledAt = e.At
		out.Bills = append(out.Bills, *bill)
	}
	return out
}
