package router

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/budget/witness"
	"rosevalve/internal/protocol/inner"
)

const recallTimeout = 300 * time.Millisecond

// connectBudgets builds the ledger, the purse and the books that this router witnesses.
func (r *Router) connectBudgets() {
	cfg := r.Settings.Budget
	r.ledger = &ledger.Ledger{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get, Scan: r.table.Scan}
	r.executor.Ledger = r.ledger
	r.books = &witness.Books{Self: func() string { return r.id }}
	r.purse = &allotment.Purse{
		Ledger:         r.ledger,
		Size:           demand.SizeByDemand(cfg.Horizon),
		SettleInterval: cfg.SettleInterval,
		IdleAfter:      cfg.IdleAfter,
		PickWitness:    r.pickWitness,
		WitnessGone:    r.witnessGone,
		Append:         r.appendToWitness,
		Recall:         r.recall,
		OnLevel: func(id ledger.BudgetID, percent int64) {
			r.Log.Warn("budget used", "budget", id, "percent_billed_or_drawn", percent)
		},
		OnError: func(err error) { r.Log.Warn("keep budgets", "err", err) },
	}
	r.connectReclaimer()
	r.connectBudgetCommands()
}

// pickWitness returns a live router, of another failure domain if there is one.
func (r *Router) pickWitness(excluded []string) (allotment.Witness, bool) {
	self := r.view.Self()
	var near, far []inner.Member
	for _, m := range r.view.Members() {
		switch {
		case m.ID == self.ID || m.State != inner.Alive || slices.Contains(excluded, m.ID):
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return allotment.Witness{}, false
	}
	m := far[rand.IntN(len(far))]
	return allotment.Witness{ID: m.ID, Addr: m.InnerAddr}, true
}

// witnessGone reports whether the router is not among those believed to live.
func (r *Router) witnessGone(id string) bool { return !slices.Contains(r.present(), id) }

func (r *Router) appendToWitness(ctx context.Context, w allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	var ack inner.WitnessAppendAck
	err := r.links.Call(ctx, w.Addr, inner.MethodWitnessAppend, in, &ack)
	return ack, err
}

// recall asks the holders of the budget to return what they do not need.
func (r *Router) recall(ctx context.Context, id ledger.BudgetID) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	addrs := make(map[string]bool)
	err := r.ledger.Holdings(ctx, id.String()+"/", func(h ledger.HoldingRow) error {
		if h.Holder != r.id && !h.Closed && h.Drawn > h.Billed {
			addrs[holderAddr(h.Holder)] = true
		}
		return nil
	})
	if err != nil {
		return 0
	}
	returned := make(chan int64, len(addrs))
	for addr := range addrs {
		go func() {
			var ack inner.RecallAck
			_ = r.links.Call(ctx, addr, inner.MethodRecall, inner.Recall{Workspace: id.Workspace, Budget: id.Name}, &ack)
			returned <- ack.Returned
		}()
	}
	var sum int64
	for range addrs {
		sum += <-returned
	}
	return sum
}

// holderAddr returns the inner address of a router incarnation.
func holderAddr(holder string) string {
	addr, _, _ := strings.Cut(holder, "#")
	return addr
}

func (r *Router) handleAppend(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.WitnessAppend
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode entries: %w", err)
	}
	return r.books.Append(in)
}

func (r *Router) handleSeal(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.WitnessSeal
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode seal: %w", err)
	}
	return r.books.Seal(in)
}

func (r *Router) handleRecall(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.Recall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode recall: %w", err)
	}
	n, err := r.purse.ReturnFree(ctx, ledger.BudgetID{Workspace: in.Workspace, Name: in.Budget})
	return inner.RecallAck{Returned: n}, err
}
