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

// homeRouterCount is the number of home routers of a workspace, which hold its tokens. With more
// of them, the loss of one router affects fewer tokens; with fewer, a single router can serve
// larger requests from its own tokens.
const homeRouterCount = 8

// drawHintTimeout bounds the call that asks another router to draw tokens.
const drawHintTimeout = time.Second

func (e *Edge) connectTokens() {
	e.tokens = &prepaid.Manager{
		VM:                 e.Settings.Edge.VM,
		Incarnation:        e.incarnation,
		Commit:             e.commit,
		Read:               e.read,
		PrepaidTotal:       e.prepaidTotal,
		DrawSize:           demand.SizeByShare(func() int { return min(homeRouterCount, len(e.fleet.ServingRouters())) }),
		HomeRouters:        e.homeRouters,
		IsStaying:          func(incarnation string) bool { return isStaying(e.view.Members(), incarnation) },
		RouterAddr:         func(incarnation string) string { return addrOf(e.view.Members(), incarnation) },
		IsLost:             func(incarnation string) bool { return !isMember(e.view.Members(), incarnation) },
		Reclaimers:         e.reclaimers,
		SendReplica:        e.sendReplica,
		RequestFence:       e.requestFence,
		SendFinalUsage:     e.sendFinalUsage,
		FetchRecent:        e.fetchRecent,
		RecentIncarnations: func() []string { return e.view.RecentIDs() },
		RequestTransfer:    e.requestTransfer,
		OfferTransfer:      e.offerTransfer,
		SendDrawHint:       func(addr, workspace string) { go e.sendDrawHint(addr, workspace) },
		OnEvent:            e.recordTokenEvent,

		ChooseMirror:  e.chooseMirror,
		SendNote:      e.sendNote,
		FetchNote:     e.fetchNote,
		FetchNoteFrom: e.fetchNoteFrom,
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

// homeRouters returns the other home routers of the workspace, those of this router's failure domain
// first, and whether this router is one of them. Home routers are a subset of the routers that
// serve requests; routers agree on them as far as their membership views agree.
func (e *Edge) homeRouters(workspace string) ([]string, bool) {
	self := false
	var sameDomain, otherDomain []string
	for _, m := range e.fleet.TopRanked(workspace, homeRouterCount) {
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

// isStaying reports whether a router incarnation is alive according to the members, not suspected and
// not leaving. Only such routers are asked for tokens.
func isStaying(members []inner.Member, incarnation string) bool {
	return slices.ContainsFunc(members, func(m inner.Member) bool {
		return m.ID == incarnation && m.State == inner.Alive
	})
}

// addrOf returns the address of a router incarnation, or an empty one if it is not among the members.
func addrOf(members []inner.Member, incarnation string) string {
	for _, m := range members {
		if m.ID == incarnation {
			return m.InnerAddr
		}
	}
	return ""
}

// requestTransfer requests tokens of a workspace from the router at addr.
func (e *Edge) requestTransfer(ctx context.Context, addr, workspace string, tokens int64) (prepaid.Transfer, error) {
	var out inner.TransferResponse
	err := e.transport.Call(ctx, addr, inner.MethodRequestTransfer, inner.TransferRequest{Workspace: workspace, Tokens: tokens}, &out)
	return prepaid.Transfer{Tokens: out.Tokens, Exhausted: out.Exhausted, Held: out.Held}, err
}

// handleRequestTransfer transfers tokens to a router that requests them.
func (e *Edge) handleRequestTransfer(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.TransferRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode transfer request: %w", err)
	}
	transfer := e.tokens.SendTransfer(ctx, in.Workspace, in.Tokens)
	return inner.TransferResponse{Tokens: transfer.Tokens, Exhausted: transfer.Exhausted, Held: transfer.Held}, nil
}

// offerTransfer transfers tokens to the router at addr and reports whether the router has
// confirmed that it accepted them.
func (e *Edge) offerTransfer(ctx context.Context, addr, workspace string, tokens int64) bool {
	err := e.transport.Call(ctx, addr, inner.MethodTransfer, inner.Transfer{Workspace: workspace, Tokens: tokens}, &inner.TransferAck{})
	if err != nil {
		e.Events.Emit(eventlog.TokensMayBeLost, "workspace", workspace, "tokens", tokens, "peer", addr, "err", err)
	}
	return err == nil
}

// handleTransfer accepts tokens that another router transfers.
func (e *Edge) handleTransfer(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Transfer
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode transfer: %w", err)
	}
	if err := e.tokens.AcceptTransfer(in.Workspace, in.Tokens); err != nil {
		return nil, fmt.Errorf("accept transfer: %w", err)
	}
	return inner.TransferAck{}, nil
}

// sendDrawHint asks the router at addr to draw tokens of a workspace that is in demand here. A
// lost draw hint is harmless, since more follow while the demand lasts.
func (e *Edge) sendDrawHint(addr, workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), drawHintTimeout)
	defer cancel()
	err := e.transport.Call(ctx, addr, inner.MethodDrawHint, inner.DrawHint{Workspace: workspace}, &inner.DrawHintAck{})
	if err != nil {
		e.Events.Emit(eventlog.DrawHintLost, "workspace", workspace, "peer", addr, "err", err)
	}
}

// handleDrawHint draws tokens of a workspace that is in demand at another router.
func (e *Edge) handleDrawHint(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.DrawHint
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode draw hint: %w", err)
	}
	go e.tokens.DrawOnHint(in.Workspace)
	return inner.DrawHintAck{}, nil
}
