package reclaim

import (
	"context"
	"expvar"

	"rosevalve/internal/budget/ledger"
)

//go:generate ../../../bin/stringer -type=Cause -linecomment

// Cause is the reason why a suspected holder's tokens cannot be returned to the budget yet.
type Cause int

// The reasons why tokens remain in doubt.
const (
	// CauseNone means that there is no known reason.
	CauseNone Cause = iota // none
	// CauseNoWitness means that the holding has no witness that could be sealed.
	CauseNoWitness // no witness
	// CauseWitnessLost means that the witness is suspected to be dead or could not be sealed.
	CauseWitnessLost // witness lost
	// CauseOpenRuns means that the holding is closed, but runs of it have an unknown outcome.
	CauseOpenRuns // open runs
)

// Metrics of the process.
var (
	holdingsClosed  = expvar.NewInt("budget_holdings_closed")
	tokensInDoubt   = expvar.NewInt("budget_doubt_tokens")
	holdingsInDoubt = expvar.NewInt("budget_doubt_holdings")
)

// InDoubtHolding is a holding of a suspected holder whose tokens cannot be returned to the
// budget yet. An operator can release it once it is certain that the holder is gone
// and that none of its requests is still running.
type InDoubtHolding struct {
	row   ledger.HoldingRow
	cause Cause
}

func newInDoubtHolding(row ledger.HoldingRow, cause Cause) InDoubtHolding {
	return InDoubtHolding{row: row, cause: cause}
}

// Holding returns the ID that an operator passes to release the holding.
func (d InDoubtHolding) Holding() ledger.HoldingID { return d.row.ID() }

// Holder returns the suspected router incarnation.
func (d InDoubtHolding) Holder() string { return d.row.Holder }

// Tokens returns the number of tokens that the holding has drawn but not billed.
func (d InDoubtHolding) Tokens() int64 { return d.row.Drawn - d.row.Billed }

// Cause returns the reason why the tokens cannot be returned yet.
func (d InDoubtHolding) Cause() Cause { return d.cause }

// InDoubt reads the table and returns the holdings of suspected holders that cannot
// be closed or removed yet. It does not seal, close or resolve anything.
func (r *Reclaimer) InDoubt(ctx context.Context) ([]InDoubtHolding, error) {
	rows, err := r.suspectedHoldings(ctx)
	if err != nil {
		return nil, err
	}
	var out []InDoubtHolding
	for _, row := range rows {
		if cause := r.inDoubtCause(row); cause != CauseNone {
			out = append(out, newInDoubtHolding(row, cause))
		}
	}
	return out, nil
}

// inDoubtCause derives from the row why the tokens are in doubt, without calling the witness.
func (r *Reclaimer) inDoubtCause(row ledger.HoldingRow) Cause {
	switch {
	case row.Closed:
		return CauseOpenRuns
	case row.Term.Witness == "":
		return CauseNoWitness
	case r.IsSuspected(row.Term.Witness):
		return CauseWitnessLost
	default:
		return CauseNone
	}
}

// publishMetrics sets the gauges of tokens and holdings in doubt after a sweep.
func (r *Reclaimer) publishMetrics(inDoubt []InDoubtHolding) {
	var tokens int64
	for _, d := range inDoubt {
		tokens += d.Tokens()
	}
	tokensInDoubt.Set(tokens)
	holdingsInDoubt.Set(int64(len(inDoubt)))
}
