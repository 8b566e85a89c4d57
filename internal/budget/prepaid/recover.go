package prepaid

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// recoverTimeout limits the queries to other routers about the previous incarnation of this VM.
const recoverTimeout = time.Second

// errUsageUnknown reports that other routers cannot establish what the previous incarnation of
// this VM has used.
var errUsageUnknown = errors.New("usage of the previous incarnation is unknown")

// recoverUsage establishes what the previous incarnation of this VM has used, from the routers
// that were running when the store was rolled back, if that incarnation is the only one whose
// usage is not known. An incarnation never uses more than its last note to a mirror allows, so
// that this note bounds its usage. A note is certainly the last one if every router that may
// have been the mirror has been queried.
//
// The error is errUsageUnknown, with the reason, if that is not possible.
func (m *Manager) recoverUsage(ctx context.Context, era uint64) error {
	if m.eras.isHistoryKnown() || !m.journal.isOpen() {
		return nil
	}
	rows, err := m.readRestored(ctx)
	if err != nil {
		return err
	}
	awaited := rows.awaited(era)
	if len(awaited) == 0 || slices.ContainsFunc(awaited, func(incarnation string) bool { return VMOf(incarnation) != m.VM }) {
		return nil
	}
	restored, err := rows.restoredIncarnations(era)
	if err != nil {
		return err
	}
	last, err := m.findLastNote(ctx, era, restored)
	if err != nil {
		return err
	}
	overGrace := last.Age - time.Since(m.startedAt) - mirrorGrace
	if overGrace > 0 {
		return fmt.Errorf("%w: its last note is %v old", errUsageUnknown, last.Age)
	}
	if err := m.journal.setRecovered(last, era); err != nil {
		return err
	}
	m.eras.setHistoryFromPeers(era)
	m.eras.requestCheck()
	return nil
}

// restoredIncarnations returns the incarnations that have restored all their rows in the era.
func (rows restoredRows) restoredIncarnations(era uint64) ([]string, error) {
	var out []string
	for vm, row := range rows[era] {
		if row.HistoryFromPeers {
			// That VM's previous incarnation may have been the mirror.
			return nil, fmt.Errorf("%w: VM %q has lost its previous incarnation too", errUsageUnknown, vm)
		}
		if row.Complete {
			out = append(out, row.Incarnation)
		}
	}
	return out, nil
}

// findLastNote returns the last note of this VM. It queries the given incarnations, and those
// that they know of, until every one that may have a later note has been queried.
func (m *Manager) findLastNote(ctx context.Context, era uint64, incarnations []string) (RecalledNote, error) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	own := m.journal.startedIn(m.incarnation(), era)
	var last RecalledNote
	unknown := make(map[string]bool) // other incarnations of this VM
	asked := make(map[string]bool)
	for len(incarnations) > 0 {
		answers, err := m.recallFromAll(ctx, incarnations)
		if err != nil {
			return last, err
		}
		for _, incarnation := range incarnations {
			asked[incarnation] = true
		}
		incarnations = nil
		for _, a := range answers {
			if a.Found && (!last.Found || a.newerThan(last)) {
				last = a
			}
			for _, incarnation := range a.RecentIncarnations {
				switch {
				case asked[incarnation] || slices.Contains(own, incarnation) || slices.Contains(incarnations, incarnation):
				case VMOf(incarnation) == m.VM:
					unknown[incarnation] = true
				default:
					incarnations = append(incarnations, incarnation)
				}
			}
		}
	}
	delete(unknown, processOf(last.Life))
	if !last.Found || len(unknown) > 0 {
		return last, fmt.Errorf("%w: no router has its last note", errUsageUnknown)
	}
	return last, nil
}

// recallFromAll queries incarnations for the last note of this VM. All must answer.
func (m *Manager) recallFromAll(ctx context.Context, incarnations []string) ([]RecalledNote, error) {
	out := make([]RecalledNote, len(incarnations))
	errs := make([]error, len(incarnations))
	var all sync.WaitGroup
	for n, incarnation := range incarnations {
		all.Go(func() { out[n], errs[n] = m.FetchNoteFrom(ctx, incarnation) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsageUnknown, err)
	}
	return out, nil
}

// setRecovered records the bounds of the previous incarnation, in place of what the store's copy
// contains of it. The copy must know of no incarnation between that one and this one.
func (j *journal) setRecovered(last RecalledNote, era uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	earlier := 0
	for incarnation, f := range j.former {
		switch {
		case f.Since >= era:
		case incarnation != last.Life && (len(f.Bounds) > 0 || f.Epoch > last.Epoch):
			return fmt.Errorf("%w: incarnation %q may not have ended", errUsageUnknown, incarnation)
		default:
			earlier++
		}
	}
	if _, known := j.former[last.Life]; !known && (earlier > 0 || last.Epoch != 1) {
		return fmt.Errorf("%w: the store's copy has no record of it", errUsageUnknown)
	}
	j.former[last.Life] = formerIncarnation{usageBound: usageBound{Bounds: last.Bounds}, Epoch: last.Epoch}
	return nil
}
