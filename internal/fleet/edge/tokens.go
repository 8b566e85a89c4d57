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

// tokenHomes is how many routers keep the tokens of one workspace. More lose fewer of
// them with one router; fewer serve large requests with what one of them has.
const tokenHomes = 8

// inviteTime bounds the call that tells another router to draw.
const inviteTime = time.Second

func (e *Edge) connectTokens() {
	e.purse = &prepaid.Purse{
		VM:      e.Settings.Edge.VM,
		Life:    e.life,
		Commit:  e.commit,
		Read:    e.read,
		Prepaid: e.prepaid,
		Size:    demand.SizeByShare(func() int { return min(tokenHomes, len(e.fleet.Carriers())) }),
		Homes:   e.homes,
		Alive:   e.alive,
		Recent:  func() []string { return e.view.Recent() },
		Ask:     e.askTokens,
		Offer:   e.offerTokens,
		Invite:  func(addr, workspace string) { go e.inviteToDraw(addr, workspace) },
		OnEvent: e.noteTokens,

		PickMirror:   e.pickMirror,
		TellMirror:   e.tellMirror,
		RecallMirror: e.recallMirror,
		AskLife:      e.askLife,
		Clock:        e.bootClock,
	}
}

// prepaid returns the workspace's total by the newest configuration.
func (e *Edge) prepaid(workspace string) int64 {
	p := e.plan.Load()
	if p == nil {
		return 0
	}
	w, ok := p.Workspace(workspace)
	if !ok {
		return 0
	}
	return w.Prepaid
}

// homes lists the other routers that keep the workspace's tokens, those of the own
// failure domain first, and tells whether this router is one of them. They are among
// those that carry the requests; routers agree on them as far as they agree on these.
func (e *Edge) homes(workspace string) ([]string, bool) {
	self := false
	var near, far []string
	for _, m := range e.fleet.Leaders(workspace, tokenHomes) {
		switch {
		case m.InnerAddr == e.innerAddr():
			self = true
		case m.FailureDomain == e.Settings.Router.FailureDomain:
			near = append(near, m.InnerAddr)
		default:
			far = append(far, m.InnerAddr)
		}
	}
	return append(near, far...), self
}

// alive reports whether a life is believed to run.
func (e *Edge) alive(life string) bool {
	return slices.ContainsFunc(e.view.Members(), func(m inner.Member) bool {
		return m.ID == life && m.State != inner.Dead
	})
}

// askTokens asks a router for tokens.
func (e *Edge) askTokens(ctx context.Context, addr, workspace string, tokens int64) (prepaid.Gift, error) {
	var out inner.GiveResponse
	err := e.links.Call(ctx, addr, inner.MethodGive, inner.Give{Workspace: workspace, Tokens: tokens}, &out)
	return prepaid.Gift{Tokens: out.Tokens, Exhausted: out.Exhausted}, err
}

func (e *Edge) handleGive(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.Give
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode question for tokens: %w", err)
	}
	gift := e.purse.Give(ctx, in.Workspace, in.Tokens)
	return inner.GiveResponse{Tokens: gift.Tokens, Exhausted: gift.Exhausted}, nil
}

// offerTokens gives a router tokens and reports whether it has surely taken them.
func (e *Edge) offerTokens(ctx context.Context, addr, workspace string, tokens int64) bool {
	err := e.links.Call(ctx, addr, inner.MethodTake, inner.Take{Workspace: workspace, Tokens: tokens}, &inner.TakeResponse{})
	if err != nil {
		e.Events.Emit(eventlog.TokensMayBeLost, "workspace", workspace, "tokens", tokens, "peer", addr, "err", err)
	}
	return err == nil
}

func (e *Edge) handleTake(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Take
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode tokens: %w", err)
	}
	e.purse.Accept(in.Workspace, in.Tokens)
	return inner.TakeResponse{}, nil
}

// inviteToDraw tells a router that a workspace is in demand here. A lost invitation
// costs nothing, since others follow while the demand lasts.
func (e *Edge) inviteToDraw(addr, workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), inviteTime)
	defer cancel()
	err := e.links.Call(ctx, addr, inner.MethodInvite, inner.Invite{Workspace: workspace}, &inner.InviteResponse{})
	if err != nil {
		e.Events.Emit(eventlog.InvitationLost, "workspace", workspace, "peer", addr, "err", err)
	}
}

func (e *Edge) handleInvite(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Invite
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode invitation to draw: %w", err)
	}
	go e.purse.Invited(in.Workspace)
	return inner.InviteResponse{}, nil
}
