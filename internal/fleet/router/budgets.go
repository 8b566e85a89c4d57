package router

import (
	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/ledger"
)

// connectBudgets builds the ledger and the purse.
func (r *Router) connectBudgets() {
	cfg := r.Settings.Budget
	r.ledger = &ledger.Ledger{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get, Scan: r.table.Scan}
	r.executor.Ledger = r.ledger
	r.purse = &allotment.Purse{
		Ledger:         r.ledger,
		DrawSize:       cfg.DrawSize,
		SettleInterval: cfg.SettleInterval,
		OnError:        func(err error) { r.Log.Warn("settle bills", "err", err) },
	}
}
