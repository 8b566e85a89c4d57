package prepaid

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// AgreeToReclaim agrees that the holdings of an incarnation of another VM are reclaimed by a write of its
// journal. It reports false if this incarnation has promised to defer.
func (m *Manager) AgreeToReclaim(incarnation string, seq int64) bool {
	r := &m.reclaims
	r.mu.Lock()
	defer r.mu.Unlock()
	if deferred, ok := r.deferred[incarnation]; ok && deferred >= seq {
		return false
	}
	if r.fenced == nil {
		r.fenced = make(map[string]int64)
	}
	r.fenced[incarnation] = max(r.fenced[incarnation], seq)
	return true
}

// agreeOnReclaim obtains the agreements without which a lost VM's journal must not be taken over in
// place of its last row. They bind whether or not it is.
func (m *Manager) agreeOnReclaim(ctx context.Context, last journalRow) error {
	if _, known := m.reclaims.finalUsage(last.Incarnation); known {
		return nil
	}
	if !m.AgreeToReclaim(last.Incarnation, last.Seq) {
		return errDeferred
	}
	ctx, cancel := context.WithTimeout(ctx, deferralTimeout)
	defer cancel()
	needed := reclaimQuorum(len(last.Reclaimers))
	var agreed, unknown atomic.Int64
	agreed.Add(1)
	var all sync.WaitGroup
	for _, reclaimer := range last.Reclaimers {
		if needed == 1 || reclaimer == m.incarnation() {
			continue
		}
		all.Go(func() {
			responder, ok, err := m.RequestReclaim(ctx, reclaimer, last.Incarnation, last.Seq)
			switch {
			case err != nil && !m.IsLost(reclaimer):
				unknown.Add(1)
			case err == nil && ok && responder == reclaimer:
				agreed.Add(1)
			}
		})
	}
	all.Wait()
	switch {
	case int(agreed.Load()) >= needed:
		return nil
	case int(agreed.Load()+unknown.Load()) >= needed:
		return fmt.Errorf("%w: %d of %d agree", errTooFewReclaimers, agreed.Load(), needed)
	default:
		return fmt.Errorf("%w: %d of %d agree", errDeferred, agreed.Load(), needed)
	}
}
