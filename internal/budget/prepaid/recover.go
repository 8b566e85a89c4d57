package prepaid

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// recoverTimeout limits the queries to other routers about the previous instance of this VM.
const recoverTimeout = time.Second

// errUsageUnknown reports that other routers cannot establish what the previous instance of
// this VM has used.
var errUsageUnknown = errors.New("usage of the previous instance is unknown")

// recoverUsage establishes what the previous instance of this VM has used, from the routers
// that were running when the store was rolled back, if that instance is the only one whose
// usage is not known. An instance never uses more than its last note to a mirror allows, so
// that this note bounds its usage. A note is certainly the last one if every router that may
// have been the mirror has been queried.
//
// The error is errUsageUnknown, with the reason, if that is not possible.
func (p *Manager) recoverUsage(ctx context.Context, era uint64) error {
	if p.eras.isHistoryKnown() || !p.journal.isOpen() {
		return nil
	}
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	awaited := rows.awaited(era)
	if len(awaited) == 0 || slices.ContainsFunc(awaited, func(instance string) bool { return vmOf(instance) != p.VM }) {
		return nil
	}
	restored, err := rows.restoredInstances(era)
	if err != nil {
		return err
	}
	last, err := p.findLastNote(ctx, era, restored)
	if err != nil {
		return err
	}
	overGrace := last.Age - time.Since(p.startedAt) - mirrorGrace
	if overGrace > 0 {
		return fmt.Errorf("%w: its last note is %v old", errUsageUnknown, last.Age)
	}
	if err := p.journal.setRecovered(last, era); err != nil {
		return err
	}
	p.eras.setHistoryFromPeers(era)
	p.eras.requestCheck()
	return nil
}

// restoredInstances returns the instances that have restored all their rows in the era.
func (rows restoredRows) restoredInstances(era uint64) ([]string, error) {
	var out []string
	for vm, row := range rows[era] {
		if row.Vouched {
			// That VM's previous instance may have been the mirror.
			return nil, fmt.Errorf("%w: VM %q has lost its previous instance too", errUsageUnknown, vm)
		}
		if row.Whole {
			out = append(out, row.Life)
		}
	}
	return out, nil
}

// findLastNote returns the last note of this VM. It queries the given instances, and those
// that they know of, until every one that may have a later note has been queried.
func (p *Manager) findLastNote(ctx context.Context, era uint64, instances []string) (RecalledNote, error) {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	own := p.journal.startedIn(p.Incarnation, era)
	var last RecalledNote
	unknown := make(map[string]bool) // other instances of this VM
	asked := make(map[string]bool)
	for len(instances) > 0 {
		answers, err := p.recallFromAll(ctx, instances)
		if err != nil {
			return last, err
		}
		for _, instance := range instances {
			asked[instance] = true
		}
		instances = nil
		for _, a := range answers {
			if a.Found && (!last.Found || a.newerThan(last)) {
				last = a
			}
			for _, instance := range a.RecentIncarnations {
				switch {
				case asked[instance] || slices.Contains(own, instance) || slices.Contains(instances, instance):
				case vmOf(instance) == p.VM:
					unknown[instance] = true
				default:
					instances = append(instances, instance)
				}
			}
		}
	}
	delete(unknown, last.Life)
	if !last.Found || len(unknown) > 0 {
		return last, fmt.Errorf("%w: no router has its last note", errUsageUnknown)
	}
	return last, nil
}

// recallFromAll queries instances for the last note of this VM. All must answer.
func (p *Manager) recallFromAll(ctx context.Context, instances []string) ([]RecalledNote, error) {
	out := make([]RecalledNote, len(instances))
	errs := make([]error, len(instances))
	var all sync.WaitGroup
	for n, instance := range instances {
		all.Go(func() { out[n], errs[n] = p.FetchNoteFrom(ctx, instance) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsageUnknown, err)
	}
	return out, nil
}

// setRecovered records the bounds of the previous instance, in place of what the store's copy
// contains of it. The copy must know of no instance between that one and this one.
func (j *journal) setRecovered(last RecalledNote, era uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	earlier := 0
	for instance, f := range j.former {
		switch {
		case f.Since >= era:
		case instance != last.Life && (len(f.Bounds) > 0 || f.Epoch > last.Epoch):
			return fmt.Errorf("%w: instance %q may not have ended", errUsageUnknown, instance)
		default:
			earlier++
		}
	}
	if _, known := j.former[last.Life]; !known && (earlier > 0 || last.Epoch != 1) {
		return fmt.Errorf("%w: the store's copy has no record of it", errUsageUnknown)
	}
	j.former[last.Life] = formerInstance{usageBound: usageBound{Bounds: last.Bounds}, Epoch: last.Epoch}
	return nil
}
