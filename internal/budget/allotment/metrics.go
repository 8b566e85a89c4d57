package allotment

import "expvar"

var (
	draws          = expvar.NewInt("budget_draws")
	drawFailures   = expvar.NewMap("budget_draw_failures")
	returns        = expvar.NewInt("budget_returns")
	settlements    = expvar.NewInt("budget_settlements")
	settledBills   = expvar.NewInt("budget_settled_bills")
	unpaidBills    = expvar.NewInt("budget_unpaid_bills")
	appends        = expvar.NewInt("budget_witness_appends")
	appendFailures = expvar.NewInt("budget_witness_append_failures")
	budgetWarnings = expvar.NewInt("budget_warnings")
	billFailures   = expvar.NewInt("budget_bills_unacknowledged")
	witnessChanges = expvar.NewInt("budget_witness_renames")
)
