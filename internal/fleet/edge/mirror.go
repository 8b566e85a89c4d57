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

// pickMirror returns the router that shall hold a copy of this one's journal: the
// current one as long as it lives, or the first in this VM's own order, if possible in
// another failure domain, which may lose power as a whole.
func (e *Edge) pickMirror(current, avoid string) string {
	key := balance.Hash(e.Settings.Edge.VM)
	best, bestRank, bestApart := "", uint64(0), false
	for _, m := range e.view.Members() {
		if m.InnerAddr == e.innerAddr() || m.InnerAddr == avoid || m.State != inner.Alive {
			continue
		}
		if m.InnerAddr == current {
			return current
		}
		rank := balance.Mix(key, balance.Hash(m.InnerAddr))
		apart := m.FailureDomain != e.Settings.Router.FailureDomain
		if best == "" || apart && !bestApart || apart == bestApart && rank > bestRank {
			best, bestRank, bestApart = m.InnerAddr, rank, apart
		}
	}
	return best
}

// bootClock returns the time since the VM was started, with the time of suspends.
func (e *Edge) bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		e.Events.Emit(eventlog.ClockUnknown, "err", err)
		// The steady clock is as good on a VM that is never suspended.
		return time.Since(e.began)
	}
	return time.Duration(now.Nano())
}

func (e *Edge) tellMirror(ctx context.Context, addr string, note prepaid.MirrorNote) (prepaid.MirrorAnswer, error) {
	in := inner.MirrorNote{
		VM: note.VM, Life: note.Life, To: note.To, Epoch: note.Epoch, Seq: note.Seq,
		AtMS: note.At.Milliseconds(), Bounds: wireBounds(note.Bounds),
	}
	var out inner.MirrorNoteResponse
	err := e.links.Call(ctx, addr, inner.MethodMirrorNote, in, &out)
	return prepaid.MirrorAnswer{Life: out.Life, Clock: time.Duration(out.ClockMS) * time.Millisecond, Kept: out.Kept}, err
}

func (e *Edge) handleMirrorNote(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.MirrorNote
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode note to a mirror: %w", err)
	}
	answer := e.purse.Keep(prepaid.MirrorNote{
		VM: in.VM, Life: in.Life, To: in.To, Epoch: in.Epoch, Seq: in.Seq,
		At: time.Duration(in.AtMS) * time.Millisecond, Bounds: boundsOf(in.Bounds),
	})
	return inner.MirrorNoteResponse{Life: answer.Life, ClockMS: answer.Clock.Milliseconds(), Kept: answer.Kept}, nil
}

func wireBounds(in map[string]prepaid.Bound) map[string]inner.MirrorBound {
	out := make(map[string]inner.MirrorBound, len(in))
	for workspace, b := range in {
		out[workspace] = inner.MirrorBound(b)
	}
	return out
}

func boundsOf(in map[string]inner.MirrorBound) map[string]prepaid.Bound {
	out := make(map[string]prepaid.Bound, len(in))
	for workspace, b := range in {
		out[workspace] = prepaid.Bound(b)
	}
	return out
}

func (e *Edge) recallMirror(ctx context.Context, addr, life string) (prepaid.Recalled, error) {
	_, r, err := e.recallFrom(ctx, addr, life)
	return r, err
}

// recallFrom asks the router at an address for the last note of a life of this VM, or of
// its last one if life is empty. It returns the life that answers.
func (e *Edge) recallFrom(ctx context.Context, addr, life string) (by string, r prepaid.Recalled, err error) {
	var out inner.MirrorRecallResponse
	err = e.links.Call(ctx, addr, inner.MethodMirrorRecall, inner.MirrorRecall{VM: e.Settings.Edge.VM, Life: life}, &out)
	return out.By, prepaid.Recalled{
		Found: out.Found, Life: out.Life, Epoch: out.Epoch, Seq: out.Seq, Bounds: boundsOf(out.Bounds),
		Age: time.Duration(out.AgeMS) * time.Millisecond, Recent: out.Recent,
	}, err
}

// askLife asks the router that runs as a life for the last note of this VM.
func (e *Edge) askLife(ctx context.Context, life string) (prepaid.Recalled, error) {
	for _, m := range e.view.Members() {
		if m.ID != life {
			continue
		}
		by, r, err := e.recallFrom(ctx, m.InnerAddr, "")
		if err == nil && by != life {
			err = fmt.Errorf("life %q answers in place of %q", by, life)
		}
		return r, err
	}
	return prepaid.Recalled{}, fmt.Errorf("life %q does not run", life)
}

func (e *Edge) handleMirrorRecall(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.MirrorRecall
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode question to a mirror: %w", err)
	}
	r := e.purse.Recall(in.VM, in.Life)
	out := inner.MirrorRecallResponse{
		By: e.life, Found: r.Found, Life: r.Life, Epoch: r.Epoch, Seq: r.Seq,
		AgeMS: r.Age.Milliseconds() + 1, Bounds: wireBounds(r.Bounds),
	}
	if in.Life == "" {
		out.Recent = r.Recent
	}
	return out, nil
}
