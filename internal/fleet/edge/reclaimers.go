package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// maxReclaimers is the number of routers that may reclaim the tokens of a router that is lost. If all of them are
// lost with it, nobody does; all but one must be reached while the store is not.
const maxReclaimers = 8

// reclaimers returns the incarnations of the routers that may reclaim the tokens of this one: those
// that are alive and rank highest for this VM by rendezvous hashing.
func (e *Edge) reclaimers() []string {
	key := balance.Hash(e.Settings.Edge.VM)
	rank := func(m inner.Member) uint64 { return balance.Mix(key, balance.Hash(m.InnerAddr)) }
	var alive []inner.Member
	for _, m := range e.view.Members() {
		if m.InnerAddr != e.innerAddr() && m.State == inner.Alive {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b inner.Member) int {
		if rank(a) > rank(b) {
			return -1
		}
		return 1
	})
	var out []string
	for _, m := range alive[:min(maxReclaimers, len(alive))] {
		out = append(out, m.ID)
	}
	return out
}

// isMember reports whether a router incarnation is in the membership view: it has neither ended nor
// been out of touch for long.
func isMember(members []inner.Member, incarnation string) bool {
	return slices.ContainsFunc(members, func(m inner.Member) bool { return m.ID == incarnation })
}

// sendReplica sends a replica of this router's bounds to a reclaimer, or to a later incarnation on its VM.
func (e *Edge) sendReplica(ctx context.Context, reclaimer string, r prepaid.BoundsReplica) (prepaid.ReplicaAck, error) {
	var out inner.BoundsReplicaAck
	err := e.callReclaimer(ctx, reclaimer, inner.MethodReplicateBounds, inner.BoundsReplica(r), &out)
	switch {
	case err != nil:
		return prepaid.ReplicaAck{}, err
	case prepaid.VMOf(out.Responder) != prepaid.VMOf(reclaimer):
		return prepaid.ReplicaAck{}, fmt.Errorf("router incarnation %q answered in place of %q", out.Responder, reclaimer)
	case !out.Kept:
		return prepaid.ReplicaAck{}, fmt.Errorf("router incarnation %q has agreed to reclaim the tokens", out.Responder)
	}
	return prepaid.ReplicaAck{Responder: out.Responder, Uptime: time.Duration(out.UptimeMS) * time.Millisecond}, nil
}

// requestFence asks a reclaimer, or a later incarnation on its VM, to keep no further replica.
func (e *Edge) requestFence(ctx context.Context, reclaimer, incarnation string, seq int64) (prepaid.FenceResponse, error) {
	var out inner.FenceAck
	err := e.callReclaimer(ctx, reclaimer, inner.MethodFence, inner.Fence{Incarnation: incarnation, Seq: seq}, &out)
	return prepaid.FenceResponse{Responder: out.Responder, Bounds: out.Bounds}, err
}

// sendFinalUsage tells a reclaimer what an incarnation of this VM has used.
func (e *Edge) sendFinalUsage(ctx context.Context, reclaimer string, usage prepaid.FinalUsage) error {
	return e.callReclaimer(ctx, reclaimer, inner.MethodFinalUsage, wireUsage(usage), &inner.FinalUsageAck{})
}

// wireUsage converts a final usage to its wire type.
func wireUsage(u prepaid.FinalUsage) inner.FinalUsage {
	return inner.FinalUsage{Incarnation: u.Incarnation, Usage: wireBounds(u.Usage), Epoch: u.Epoch, Complete: u.Complete}
}

// prepaidUsage converts a final usage from its wire type.
func prepaidUsage(in inner.FinalUsage) prepaid.FinalUsage {
	return prepaid.FinalUsage{Incarnation: in.Incarnation, Usage: prepaidBounds(in.Usage), Epoch: in.Epoch, Complete: in.Complete}
}

// handleFinalUsage records what an incarnation of another VM has used.
func (e *Edge) handleFinalUsage(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.FinalUsage
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode final usage: %w", err)
	}
	if err := e.tokens.AcceptFinalUsage(prepaidUsage(in)); err != nil {
		return nil, fmt.Errorf("accept final usage: %w", err)
	}
	return inner.FinalUsageAck{}, nil
}

// callReclaimer calls the router that runs on the VM of a reclaimer.
func (e *Edge) callReclaimer(ctx context.Context, reclaimer, method string, params, response any) error {
	vm := prepaid.VMOf(reclaimer)
	for _, m := range e.view.Members() {
		if prepaid.VMOf(m.ID) == vm {
			return e.transport.Call(ctx, m.InnerAddr, method, params, response)
		}
	}
	return fmt.Errorf("no router of VM %q is in the membership view", vm)
}

// handleReplicateBounds keeps a replica of the bounds of an incarnation of another VM, unless it is fenced.
func (e *Edge) handleReplicateBounds(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.BoundsReplica
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode replica of bounds: %w", err)
	}
	kept := e.tokens.StoreReplica(prepaid.BoundsReplica(in))
	return inner.BoundsReplicaAck{Responder: e.incarnation, UptimeMS: e.tokens.Uptime().Milliseconds(), Kept: kept}, nil
}

// handleFence keeps no further replica of the bounds of an incarnation of another VM.
func (e *Edge) handleFence(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.Fence
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode fence: %w", err)
	}
	return inner.FenceAck(e.tokens.Fence(in.Incarnation, in.Seq)), nil
}
