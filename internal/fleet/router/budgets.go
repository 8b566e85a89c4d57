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

// recallTimeout bounds one recall of unused tokens from all holders of a budget.
const recallTimeout = 300 * time.Millisecond

// buildBudgets builds the ledger, this router's allotments, and the witness books that
// it keeps for other routers.
func (r *Router) buildBudgets() {
	cfg := r.Settings.Budget
	r.ledger = &ledger.Ledger{Holder: r.id, Commit: r.table.Commit, Get: r.table.Get, Scan: r.table.Scan}
	r.executor.Ledger = r.ledger
	r.witness = &witness.Books{SelfID: func() string { return r.id }}
	r.allotments = &allotment.Manager{
		Ledger:           r.ledger,
		DrawSize:         demand.SizeByDemand(cfg.Horizon),
		SettleInterval:   cfg.SettleInterval,
		IdleTimeout:      cfg.IdleTimeout,
		PickWitness:      r.pickWitness,
		WitnessSuspected: r.witnessDown,
		AppendToWitness:  r.appendToWitness,
		RecallFromPeers:  r.recall,
		OnWarningLevel: func(id ledger.BudgetID, percent int64) {
			r.Log.Warn("budget reached a warning level", "budget", id, "percent_billed_or_drawn", percent)
		},
		OnError: func(err error) { r.Log.Warn("budget maintenance failed", "err", err) },
	}
	r.buildReclaimer()
	r.addBudgetCommands()
}

// pickWitness returns a random live router that is not excluded, preferring other
// failure domains. It returns false if no router qualifies.
func (r *Router) pickWitness(excluded []string) (allotment.Witness, bool) {
	self := r.view.Self()
	var fallback, preferred []inner.Member
	for _, m := range r.view.Members() {
		switch {
		case m.ID == self.ID || m.State != inner.Alive || slices.Contains(excluded, m.ID):
		case m.FailureDomain == self.FailureDomain:
			fallback = append(fallback, m)
		default:
			preferred = append(preferred, m)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return allotment.Witness{}, false
	}
	m := preferred[rand.IntN(len(preferred))]
	return allotment.Witness{ID: m.ID, Addr: m.InnerAddr}, true
}

// witnessDown reports whether the membership view has the router as neither alive nor
// leaving.
func (r *Router) witnessDown(id string) bool { return !slices.Contains(r.runningRouterIDs(), id) }

// appendToWitness sends entries of this router's holdings to their witness.
func (r *Router) appendToWitness(ctx context.Context, w allotment.Witness, in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	var ack inner.WitnessAppendAck
	err := r.peers.Call(ctx, w.Addr, inner.MethodWitnessAppend, in, &ack)
	return ack, err
}

// recall asks the other routers that hold unbilled tokens of the budget to return the
// tokens that they have not reserved. It returns the number of tokens returned within
// recallTimeout; routers that fail to answer count as 0.
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
			var ack inner.ReturnTokensAck
			_ = r.peers.Call(ctx, addr, inner.MethodRecall, inner.ReturnTokens{Workspace: id.Workspace, Budget: id.Name}, &ack)
			returned <- ack.Returned
		}()
	}
	var sum int64
	for range addrs {
		sum += <-returned
	}
	return sum
}

// holderAddr returns the inner address of a router incarnation, whose id is that
// address, "#" and a random text.
func holderAddr(holder string) string {
	addr, _, _ := strings.Cut(holder, "#")
	return addr
}

// handleAppend processes a call of a holder that this router is the witness of.
func (r *Router) handleAppend(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.WitnessAppend
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode entries: %w", err)
	}
	return r.witness.Append(in)
}

// handleSeal processes a call of a router that reclaims a holding.
func (r *Router) handleSeal(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.WitnessSeal
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode seal: %w", err)
	}
	return r.witness.Seal(in)
}

// handleRecall returns this router's free tokens of a budget at the request of another
// router.
func (r *Router) handleRecall(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.ReturnTokens
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode recall: %w", err)
	}
	n, err := r.allotments.ReturnFree(ctx, ledger.BudgetID{Workspace: in.Workspace, Name: in.Budget})
	return inner.ReturnTokensAck{Returned: n}, err
}
