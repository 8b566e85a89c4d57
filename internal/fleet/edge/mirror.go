package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// chooseMirror returns the router that shall mirror this router's journal: the current
// mirror while it is alive, or else the router that ranks highest for this VM by rendezvous
// hashing. Other failure domains are preferred, since a domain may lose power as a whole.
// The router at avoid is never returned; the result is empty if no router qualifies.
func (e *Edge) chooseMirror(current, avoid string) string {
	key := balance.Hash(e.Settings.Edge.VM)
	best, bestRank, bestRemote := "", uint64(0), false
	for _, m := range e.view.Members() {
		if m.InnerAddr == e.innerAddr() || m.InnerAddr == avoid || m.State != inner.Alive {
			continue
		}
		if m.InnerAddr == current {
			return current
		}
		rank := balance.Mix(key, balance.Hash(m.InnerAddr))
		remote := m.FailureDomain != e.Settings.Router.FailureDomain
		if best == "" || remote && !bestRemote || remote == bestRemote && rank > bestRank {
			best, bestRank, bestRemote = m.InnerAddr, rank, remote
		}
	}
	return best
}

// bootClock returns the time since the VM was booted, including the time suspended.
func (e *Edge) bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		e.Events.Emit(eventlog.ClockReadFailed, "err", err)
		// The monotonic clock is equivalent on a VM that is never suspended.
		return time.Since(e.startTime)
	}
	return time.Duration(now.Nano())
}

// sendNote sends a mirror note to the router at addr.
func (e *Edge) sendNote(ctx context.Context, addr string, note prepaid.MirrorNote) (prepaid.MirrorResponse, error) {
	in := inner.MirrorNote{
		VM: note.VM, Incarnation: note.Incarnation, To: note.ToIncarnation, Epoch: note.Epoch, Seq: note.Seq,
		AtMS: note.SentAt.Milliseconds(), Bounds: wireBounds(note.Bounds),
	}
	var out inner.MirrorNoteResponse
	err := e.transport.Call(ctx, addr, inner.MethodMirrorNote, in, &out)
	return prepaid.MirrorResponse{Incarnation: out.Incarnation, Clock: time.Duration(out.ClockMS) * time.Millisecond, Kept: out.Kept}, err
}

// handleMirrorNote stores a mirror note of another VM.
func (e *Edge) handleMirrorNote(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.MirrorNote
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode mirror note: %w", err)
	}
	answer := e.tokens.StoreNote(prepaid.MirrorNote{
		VM: in.VM, Incarnation: in.Incarnation, ToIncarnation: in.To, Epoch: in.Epoch, Seq: in.Seq,
		SentAt: time.Duration(in.AtMS) * time.Millisecond, Bounds: prepaidBounds(in.Bounds),
	})
	return inner.MirrorNoteResponse{Incarnation: answer.Incarnation, ClockMS: answer.Clock.Milliseconds(), Kept: answer.Kept}, nil
}

// wireBounds converts bounds to their wire type.
func wireBounds(in map[string]prepaid.Bound) map[string]inner.MirrorBound {
	out := make(map[string]inner.MirrorBound, len(in))
	for workspace, b := range in {
		out[workspace] = inner.MirrorBound(b)
	}
	return out
}

// prepaidBounds converts bounds from their wire type.
func prepaidBounds(in map[string]inner.MirrorBound) map[string]prepaid.Bound {
	out := make(map[string]prepaid.Bound, len(in))
	for workspace, b := range in {
		out[workspace] = prepaid.Bound(b)
	}
	return out
}

// fetchNote returns the last mirror note of an incarnation of this VM that the
// router at addr holds.
func (e *Edge) fetchNote(ctx context.Context, addr, incarnation string) (prepaid.RecalledNote, error) {
	_, r, err := e.callMirrorRecall(ctx, addr, incarnation)
	return r, err
}

// callMirrorRecall requests the last mirror note of an incarnation of this VM from the
// router at addr, or of its last incarnation if incarnation is empty. It also returns the
// incarnation of the router that answered.
func (e *Edge) callMirrorRecall(ctx context.Context, addr, incarnation string) (responder string, r prepaid.RecalledNote, err error) {
	var out inner.MirrorRecallResponse
	err = e.transport.Call(ctx, addr, inner.MethodMirrorRecall, inner.MirrorRecall{VM: e.Settings.Edge.VM, Incarnation: incarnation}, &out)
	return out.Responder, prepaid.RecalledNote{
		Found: out.Found, Life: out.Life, Epoch: out.Epoch, Seq: out.Seq, Bounds: prepaidBounds(out.Bounds),
		Age: time.Duration(out.AgeMS) * time.Millisecond, RecentIncarnations: out.Recent,
	}, err
}

// fetchNoteFrom returns the last mirror note of this VM that the router with
// the given incarnation holds. It fails if another incarnation answers at that address.
func (e *Edge) fetchNoteFrom(ctx context.Context, incarnation string) (prepaid.RecalledNote, error) {
	for _, m := range e.view.Members() {
		if m.ID != incarnation {
			continue
		}
		responder, r, err := e.callMirrorRecall(ctx, m.InnerAddr, "")
		if err == nil && responder != incarnation {
			err = fmt.Errorf("router incarnation %q answered in place of %q", responder, incarnation)
		}
		return r, err
	}
	return prepaid.RecalledNote{}, fmt.Errorf("router incarnation %q is not in the membership view", incarnation)
}

// handleMirrorRecall returns the last mirror note that this router holds of another VM.
func (e *Edge) handleMirrorRecall(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.MirrorRecall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode mirror recall: %w", err)
	}
	r := e.tokens.RecallNote(in.VM, in.Incarnation)
	out := inner.MirrorRecallResponse{
		Responder: e.incarnation, Found: r.Found, Life: r.Life, Epoch: r.Epoch, Seq: r.Seq,
		AgeMS: r.Age.Milliseconds() + 1, Bounds: wireBounds(r.Bounds),
	}
	if in.Incarnation == "" {
		out.Recent = r.RecentIncarnations
	}
	return out, nil
}
