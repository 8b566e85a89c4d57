package pool

import (
	"context"
	"time"

	"rosevalve/internal/target/health"
)

// probeInterval is the interval of the check for due probes.
const probeInterval = 100 * time.Millisecond

// Run probes ejected targets until ctx is done. It returns nil.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.startDueProbes(time.Now())
		}
	}
}

// startDueProbes starts a probe of each ejected target whose backoff has ended.
func (p *Pool) startDueProbes(now time.Time) {
	for _, t := range p.current().all {
		t.mu.Lock()
		due := t.breaker.ProbeDue(now) && !t.probing && !t.leaving()
		t.probing = t.probing || due
		t.mu.Unlock()
		if due {
			go p.probe(t)
		}
	}
}

// probe probes an ejected target and half-opens its breaker if it answers.
func (p *Pool) probe(t *target) {
	var err error
	if p.Probe != nil {
		err = p.Probe(t.currentInfo())
	}
	t.mu.Lock()
	t.probing = false
	t.breaker.Probed(time.Now(), err == nil)
	readmitted := t.breaker.State() == health.HalfOpen
	t.mu.Unlock()
	if readmitted {
		p.notifyFreeSlot(t)
	}
}
