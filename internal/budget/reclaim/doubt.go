package reclaim

import (
	"context"
	"expvar"

	"rosevalve/internal/budget/ledger"
)

//go:generate ../../../bin/stringer -type=Cause -linecomment

// Cause says why tokens of a holding can not go back yet.
type Cause int

// The causes of doubt.
const (
	CauseNone        Cause = iota // none
	CauseNoWitness                // no witness
	CauseWitnessLost              // witness lost
	CauseOpenRuns                 // open runs
)

var (
	closed        = expvar.NewInt("budget_holdings_closed")
	doubtTokens   = expvar.NewInt("budget_doubt_tokens")
	doubtHoldings = expvar.NewInt("budget_doubt_holdings")
)

// Doubt is a holding of a suspected holder whose tokens can not go back yet.
type Doubt struct {
	row   ledger.HoldingRow
	cause Cause
}

func newDoubt(row ledger.HoldingRow, cause Cause) Doubt {
	return Doubt{row: row, cause: cause}
}

// Holding returns the id by which an operator releases the holding.
func (d Doubt) Holding() ledger.HoldingID { return d.row.ID() }

// Holder returns the router incarnation that is suspected.
func (d Doubt) Holder() string { return d.row.Holder }

// Tokens returns what the holding has drawn and not billed.
func (d Doubt) Tokens() int64 { return d.row.Drawn - d.row.Billed }

// Cause says why the tokens can not go back yet.
func (d Doubt) Cause() Cause { return d.cause }

// Doubts returns the holdings of suspected holders as they are in the table, with
// what keeps them from being closed or removed. It changes nothing.
func (r *Reclaimer) Doubts(ctx context.Context) ([]Doubt, error) {
	rows, err := r.suspects(ctx)
	if err != nil {
		return nil, err
	}
	var out []Doubt
	for _, row := range rows {
		if cause := r.cause(row); cause != CauseNone {
			out = append(out, newDoubt(row, cause))
		}
	}
	return out, nil
}

func (r *Reclaimer) cause(row ledger.HoldingRow) Cause {
	switch {
	case row.Closed:
		return CauseOpenRuns
	case row.Term.Witness == "":
		return CauseNoWitness
	case r.Suspected(row.Term.Witness):
		return CauseWitnessLost
	default:
		return CauseNone
	}
}

// keep shows the doubts of a sweep as metrics.
func (r *Reclaimer) keep(doubts []Doubt) {
	var tokens int64
	for _, d := range doubts {
		tokens += d.Tokens()
	}
	doubtTokens.Set(tokens)
	doubtHoldings.Set(int64(len(doubts)))
}
