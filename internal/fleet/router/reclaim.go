package router

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/budget/reclaim"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/head"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/runner"
)

// buildReclaimer builds the component that closes the holdings of dead routers.
func (r *Router) buildReclaimer() {
	cfg := r.Settings.Budget
	absence := &reclaim.AbsenceTracker{Present: r.runningRouterIDs}
	vms := &vmTracker{client: &vmlist.Client{Addr: r.Settings.Platform.Addr, HTTP: &fasthttp.Client{DialTimeout: head.Dial}}}
	r.reclaimer = &reclaim.Reclaimer{
		Ledger:   r.ledger,
		Interval: cfg.ReclaimInterval,
		ShouldSweep: func() bool {
			absence.Refresh()
			vms.refresh()
			return absence.RanksAmongFirst(r.id, reclaimerCount)
		},
		IsSuspected: func(holder string) bool {
			return r.holderGone(vms, holder) || absence.MissingFor(holder) >= cfg.ReclaimAfter
		},
		MayCancelRuns: func(holder string) bool { return absence.MissingFor(holder) >= cfg.CancelAfter },
		HolderGone:    func(holder string) bool { return r.holderGone(vms, holder) },
		TargetGone:    vms.hasLeft,
		Seal:          r.sealAtWitness,
		Cancel:        r.cancelRun,
		OnError:       func(err error) { r.Log.Warn("reclaiming holdings failed", "err", err) },
	}
}

// runningRouterIDs returns the ids of the router incarnations that the membership view
// has as alive or leaving.
func (r *Router) runningRouterIDs() []string {
	var out []string
	for _, m := range r.view.Members() {
		if m.State == inner.Alive || m.State == inner.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

// holderGone reports whether the holder has surely stopped: its VM has left the
// platform's list, or another incarnation is alive at its address.
func (r *Router) holderGone(vms *vmTracker, holder string) bool {
	addr := holderAddr(holder)
	if vms.hasLeft(addr) {
		return true
	}
	return slices.ContainsFunc(r.view.Members(), func(m inner.Member) bool {
		return m.InnerAddr == addr && m.ID != holder && m.State == inner.Alive
	})
}

// sealAtWitness seals the book of a holding at its witness, which may be this router,
// and returns what the book contains.
func (r *Router) sealAtWitness(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if term.Witness == r.id {
		return r.witness.Seal(in)
	}
	var out inner.WitnessEvidence
	err := r.peers.Call(ctx, term.Addr, inner.MethodWitnessSeal, in, &out)
	return out, err
}

// cancelRun cancels an attempt of another router at the target at addr and returns the
// tokens that it used. The error is reclaim.ErrUnknownRun if the target does not know it.
func (r *Router) cancelRun(addr, attempt string) (chat.Usage, error) {
	usage, err := r.gateway.Dispatcher.Cancel(addr, attempt)
	if errors.Is(err, runner.ErrUnknownRun) {
		err = reclaim.ErrUnknownRun
	}
	return usage, err
}

// vmTracker records which VMs have been in the platform's list and which of them have
// left it since.
type vmTracker struct {
	client *vmlist.Client

	mu     sync.Mutex      // guards listed
	listed map[string]bool // by VM address; false for a VM that has left the list
}

// reclaimerCount is the number of routers that sweep for holdings to reclaim.
const reclaimerCount = 2

const vmListTimeout = time.Second

// refresh reads the platform's list. If that fails, the recorded state does not change. No VM
// counts as left because its entry is invalid.
func (t *vmTracker) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
	defer cancel()
	vms, err := t.client.List(ctx)
	incomplete := errors.Is(err, vmlist.ErrIncomplete)
	if err != nil && !incomplete {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed == nil {
		t.listed = make(map[string]bool)
	}
	for addr := range t.listed {
		t.listed[addr] = t.listed[addr] && incomplete
	}
	for _, vm := range vms {
		t.listed[vm.Addr] = true
	}
}

// hasLeft reports whether the VM with the address, given with or without a port, has left
// the list. It returns false for a VM that was never listed, since the list lags behind
// and the VM may be new.
func (t *vmTracker) hasLeft(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range []string{addr, host} {
		if listed, known := t.listed[a]; known {
			return !listed
		}
	}
	return false
}
