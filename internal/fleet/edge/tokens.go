package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
)

// homeRouters is the number of home routers of a workspace, which hold its tokens. With more
// of them, the loss of one router affects fewer tokens; with fewer, a single router can serve
// larger requests from its own tokens.
const homeRouters = 8

// inviteTimeout bounds the call that asks another router to draw tokens.
const inviteTimeout = time.Second

func (e *Edge) connectTokens() {
	e.budget = &prepaid.Manager{
		VM:                 e.Settings.Edge.VM,
		Incarnation:        e.incarnation,
		Commit:             e.commit,
		Read:               e.read,
		PrepaidTotal:       e.prepaidTotal,
		DrawSize:           demand.SizeByShare(func() int { return min(homeRouters, len(e.fleet.ServingRouters())) }),
		HomeRouters:        e.homes,
		IsAlive:            e.alive,
		RecentIncarnations: func() []string { return e.view.RecentIDs() },
		RequestTransfer:    e.requestTokens,
		OfferTransfer:      e.transferTokens,
		SendDrawHint:       func(addr, workspace string) { go e.sendInvite(addr, workspace) },
		OnEvent:            e.recordTokenEvent,

		ChooseMirror:  e.pickMirror,
		SendNote:      e.sendToMirror,
		FetchNote:     e.recallFromMirror,
		FetchNoteFrom: e.recallFromIncarnation,
		Clock:         e.bootClock,
	}
}

// prepaidTotal returns the workspace's prepaid tokens according to the newest configuration.
func (e *Edge) prepaidTotal(workspace string) int64 {
	p := e.plan.Load()
	if p == nil {
		return 0
	}
	w, ok := p.Workspace(workspace)
	if !ok {
		return 0
	}
	return w.PrepaidTokens
}

// homes returns the other home routers of the workspace, those of this router's failure domain
// first, and whether this router is one of them. Home routers are a subset of the routers that
// serve requests; routers agree on them as far as their membership views agree.
func (e *Edge) homes(workspace string) ([]string, bool) {
	self := false
	var sameDomain, otherDomain []string
	for _, m := range e.fleet.TopRanked(workspace, homeRouters) {
		switch {
		case m.InnerAddr == e.innerAddr():
			self = true
		case m.FailureDomain == e.Settings.Router.FailureDomain:
			sameDomain = append(sameDomain, m.InnerAddr)
		default:
			otherDomain = append(otherDomain, m.InnerAddr)
		}
	}
	return append(sameDomain, otherDomain...), self
}

// alive reports whether a router incarnation is in the membership view and not dead.
func (e *Edge) alive(incarnation string) bool {
	return slices.ContainsFunc(e.view.Members(), func(m inner.Member) bool {
		return m.ID == incarnation && m.State != inner.Dead
	})
}

// requestTokens requests tokens of a workspace from the router at addr.
func (e *Edge) requestTokens(ctx context.Context, addr, workspace string, tokens int64) (prepaid.Transfer, error) {
	var out inner.TransferResponse
	err := e.links.Call(ctx, addr, inner.MethodRequestTransfer, inner.TransferRequest{Workspace: workspace, Tokens: tokens}, &out)
	return prepaid.Transfer{Tokens: out.Tokens, Exhausted: out.Exhausted}, err
}

// handleGive gives tokens to a router that requests them.
func (e *Edge) handleGive(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TransferRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode question for tokens: %w", err)
	}
	given := e.budget.SendTransfer(ctx, in.Workspace, in.Tokens)
	return inner.TransferResponse{Tokens: given.Tokens, Exhausted: given.Exhausted}, nil
}

// transferTokens transfers tokens to the router at addr and reports whether the router has
// confirmed that it accepted them.
func (e *Edge) transferTokens(ctx context.Context, addr, workspace string, tokens int64) bool {
	err := e.links.Call(ctx, addr, inner.MethodTransfer, inner.Transfer{Workspace: workspace, Tokens: tokens}, &inner.TransferAck{})
	if err != nil {
		e.Events.Emit(eventlog.TokensMayBeLost, "workspace", workspace, "tokens", tokens, "peer", addr, "err", err)
	}
	return err == nil
}

// handleTake accepts tokens that another router transfers.
func (e *Edge) handleTake(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Transfer
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode tokens: %w", err)
	}
	e.budget.AcceptTransfer(in.Workspace, in.Tokens)
	return inner.TransferAck{}, nil
}

// sendInvite asks the router at addr to draw tokens of a workspace that is in demand here. A
// lost invitation is harmless, since more follow while the demand lasts.
func (e *Edge) sendInvite(addr, workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), inviteTimeout)
	defer cancel()
	err := e.links.Call(ctx, addr, inner.MethodDrawHint, inner.DrawHint{Workspace: workspace}, &inner.DrawHintAck{})
	if err != nil {
		e.Events.Emit(eventlog.DrawHintLost, "workspace", workspace, "peer", addr, "err", err)
	}
}

// handleInvite draws tokens of a workspace that is in demand at another router.
func (e *Edge) handleInvite(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.DrawHint
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode invitation to draw: %w", err)
	}
	go e.budget.DrawOnHint(in.Workspace)
	return inner.DrawHintAck{}, nil
}
