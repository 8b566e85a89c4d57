package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/head"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/health"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/report"
)

const (
	percent           = 100              // divisor of settings in percent
	rebalanceInterval = 10 * time.Second // time between checks of this router's position
)

// buildTargets builds the pool of targets, which the catalogue updates, the queues of
// requests that wait for a target, and the reader of the targets' load reports.
func (r *Router) buildTargets() {
	cfg := r.Settings.Load
	r.targets = &pool.Pool{
		Self:     r.Settings.Router.InnerListen,
		Position: r.position,
		Goals: health.LimitConfig{
			FirstToken: cfg.FirstTokenGoal,
			TokenGap:   cfg.TokenGapGoal,
			Initial:    int(cfg.InitialLimit),
			MaxLimit:   int(cfg.MaxLimit),
		},
		UrgentReserve:  float64(cfg.UrgentReserve) / percent,
		SubsetSize:     int(cfg.SubsetSize),
		MaxLoadRatio:   float64(cfg.AffinityBound) / percent,
		SilenceTimeout: cfg.SilenceTimeout,
	}
	r.queues = &queue.Queues{
		Pick:          r.targets.Reserve,
		Slots:         r.targets.Slots,
		ProbeDelay:    r.targets.ProbeDelay,
		MaxUrgentWait: cfg.MaxUrgentWait,
		MaxLongWait:   cfg.MaxLongWait,
		HeadStart:     cfg.UrgentHeadStart,
		LongShare:     float64(cfg.LongShare) / percent,
	}
	r.reports = &report.Poller{
		Engines:      r.targets.Engines,
		Interval:     cfg.ReportInterval,
		OnLoad:       r.targets.ReportLoad,
		OnCacheEvent: r.targets.ReportCache,
	}
	r.targets.OnFreeSlot = r.queues.GrantFreed
	r.targets.Probe = r.reports.Probe
}

// runTargets runs the pool, the queues and the watchers that update them until ctx ends.
func (r *Router) runTargets(ctx context.Context) error {
	var group sync.WaitGroup
	for _, run := range []func(context.Context) error{r.targets.Run, r.queues.Run, r.reports.Run, r.watchLeavingVMs, r.watchPosition} {
		group.Go(func() { _ = run(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// watchLeavingVMs reads the platform's VM list at an interval and marks targets on leaving
// VMs in the pool. If the list cannot be read, the one read before stays in effect.
func (r *Router) watchLeavingVMs(ctx context.Context) error {
	client := &vmlist.Client{Addr: r.Settings.Platform.Addr, HTTP: &fasthttp.Client{DialTimeout: head.Dial}}
	tick := time.NewTicker(r.Settings.Load.VMListInterval)
	defer tick.Stop()
	for {
		vms, err := client.List(ctx)
		if err != nil {
			r.Log.Debug("VM list not read, or in part", "err", err)
		}
		if err == nil || errors.Is(err, vmlist.ErrIncomplete) {
			r.targets.SetLeavingVMs(leavingVMs(vms))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// leavingVMs returns the set of the addresses of the VMs that are leaving.
func leavingVMs(vms []vmlist.VM) map[string]bool {
	out := make(map[string]bool)
	for _, vm := range vms {
		if vm.Leaving {
			out[vm.Addr] = true
		}
	}
	return out
}

// watchPosition recomputes the subsets of targets when this router's position has changed.
func (r *Router) watchPosition(ctx context.Context) error {
	tick := time.NewTicker(rebalanceInterval)
	defer tick.Stop()
	var lastIndex, lastCount int
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if i, n := r.position(); i != lastIndex || n != lastCount {
			lastIndex, lastCount = i, n
			r.targets.Rebalance()
		}
	}
}

// position returns this router's index among the live routers, sorted by id, and their
// number. It returns zeros if the membership view does not have this router as alive.
func (r *Router) position() (index, count int) {
	if r.view == nil {
		return 0, 0
	}
	var ids []string
	for _, m := range r.view.Members() {
		if m.State == inner.Alive {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	index = slices.Index(ids, r.id)
	if index < 0 {
		return 0, 0
	}
	return index, len(ids)
}
