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
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/runner"
)

// connectReclaimer builds the search for holdings of dead routers.
func (r *Router) connectReclaimer() {
	cfg := r.Settings.Budget
	suspicion := &reclaim.Suspicion{Present: r.present}
	vms := &vmSnapshot{client: &vmlist.Client{Addr: r.Settings.Platform.Addr, HTTP: &fasthttp.Client{}}}
	r.reclaimer = &reclaim.Reclaimer{
		Ledger:   r.ledger,
		Interval: cfg.ReclaimInterval,
		Due: func() bool {
			suspicion.Refresh()
			vms.refresh()
			return suspicion.First(r.id, sweepers)
		},
		Suspected: func(holder string) bool {
			return r.departed(vms, holder) || suspicion.MissingFor(holder) >= cfg.ReclaimAfter
		},
		Abandoned:  func(holder string) bool { return suspicion.MissingFor(holder) >= cfg.CancelAfter },
		Departed:   func(holder string) bool { return r.departed(vms, holder) },
		TargetGone: vms.lacks,
		Seal:       r.sealAtWitness,
		Cancel:     r.cancelRun,
		OnError:    func(err error) { r.Log.Warn("reclaim holdings", "err", err) },
	}
}

// present lists the incarnations that are believed to live.
func (r *Router) present() []string {
	var out []string
	for _, m := range r.view.Members() {
		if m.State == inner.Alive || m.State == inner.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

// departed reports whether the holder's VM is gone, or another incarnation has its address.
func (r *Router) departed(vms *vmSnapshot, holder string) bool {
	addr := holderAddr(holder)
	if vms.lacks(addr) {
		return true
	}
	return slices.ContainsFunc(r.view.Members(), func(m inner.Member) bool {
		return m.InnerAddr == addr && m.ID != holder && m.State == inner.Alive
	})
}

func (r *Router) sealAtWitness(ctx context.Context, term ledger.Term, in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if term.Witness == r.id {
		return r.books.Seal(in)
	}
	var out inner.WitnessEvidence
	err := r.links.Call(ctx, term.Addr, inner.MethodWitnessSeal, in, &out)
	return out, err
}

// cancelRun stops a run of another router at its target and returns what it used.
func (r *Router) cancelRun(addr, attempt string) (chat.Usage, error) {
	usage, err := r.gateway.Dispatcher.Cancel(addr, attempt)
	if errors.Is(err, runner.ErrNoRun) {
		err = reclaim.ErrNoRun
	}
	return usage, err
}

// vmSnapshot is the platform's VM list as last read, with the VMs that have left it.
type vmSnapshot struct {
	client *vmlist.Client

	mu    sync.Mutex      // guards addrs
	addrs map[string]bool // whether a VM that was in the list is still there
}

// sweepers is the number of routers that search for holdings to reclaim.
const sweepers = 2

const vmListTimeout = time.Second

// refresh reads the list; a list that can not be read stays as it was.
func (s *vmSnapshot) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
	defer cancel()
	vms, err := s.client.List(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addrs == nil {
		s.addrs = make(map[string]bool)
	}
	for addr := range s.addrs {
		s.addrs[addr] = false
	}
	for _, vm := range vms {
		s.addrs[vm.Addr] = true
	}
}

// lacks reports whether the VM of the address has left the list. A VM that was never
// in it may be too new for a list that lags.
func (s *vmSnapshot) lacks(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range []string{addr, host} {
		if listed, known := s.addrs[a]; known {
			return !listed
		}
	}
	return false
}
