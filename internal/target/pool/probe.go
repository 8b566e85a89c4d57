package pool

import (
	"context"
	"time"

	"rosevalve/internal/target/health"
)

const probeInterval = 100 * time.Millisecond

// Run probes ejected targets until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.probeDue(time.Now())
		}
	}
}

// probeDue starts a probe of each ejected target whose time has come.
func (p *Pool) probeDue(now time.Time) {
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

func (p *Pool) probe(t *target) {
	var err error
	if p.Probe != nil {
		err = p.Probe(t.served())
	}
	t.mu.Lock()
	t.probing = false
	t.breaker.Probed(time.Now(), err == nil)
	back := t.breaker.State() == health.HalfOpen
	t.mu.Unlock()
	if back {
		p.room(t)
	}
}
