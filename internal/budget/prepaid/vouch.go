package prepaid

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// vouchTime bounds the questions to other routers about the last life of this VM.
const vouchTime = time.Second

// errNotVouched reports that nobody can say for sure what the last life of this VM has used.
var errNotVouched = errors.New("nobody can vouch for the last life")

// vouch lets the routers that lived through the store's return say what the last life of
// this VM has used, if that life is the only one of which it is not known. A life uses
// nothing that it has not told a mirror, so that its last note bounds it; the note is its
// last one if all routers that may have been its mirror are there to be asked.
//
// The error is errNotVouched, with the reason, if that is not so.
func (p *Purse) vouch(ctx context.Context, era uint64) error {
	if p.eras.isAccounted() || !p.journal.isOpen() {
		return nil
	}
	rows, err := p.readRestored(ctx)
	if err != nil {
		return err
	}
	awaited := rows.awaited(era)
	if len(awaited) == 0 || slices.ContainsFunc(awaited, func(life string) bool { return vmOf(life) != p.VM }) {
		return nil
	}
	elders, err := rows.elders(era)
	if err != nil {
		return err
	}
	last, err := p.lastNote(ctx, era, elders)
	if err != nil {
		return err
	}
	over := last.Age - time.Since(p.born) - mirrorGrace
	if over > 0 {
		return fmt.Errorf("%w: its last note is %v old", errNotVouched, last.Age)
	}
	if err := p.journal.vouched(last, era); err != nil {
		return err
	}
	p.eras.vouch(era)
	p.eras.kick()
	return nil
}

// elders returns the lives that have brought all their rows into the era.
func (rows restoredRows) elders(era uint64) ([]string, error) {
	var out []string
	for vm, row := range rows[era] {
		if row.Vouched {
			// Its last life may have been the mirror.
			return nil, fmt.Errorf("%w: VM %q has lost a life too", errNotVouched, vm)
		}
		if row.Whole {
			out = append(out, row.Life)
		}
	}
	return out, nil
}

// lastNote returns the last note of this VM. It asks lives, and those that they know of,
// until all were asked that may have had a later one.
func (p *Purse) lastNote(ctx context.Context, era uint64, lives []string) (Recalled, error) {
	ctx, cancel := context.WithTimeout(ctx, vouchTime)
	defer cancel()
	own := p.journal.begunIn(p.Life, era)
	var last Recalled
	unknown := make(map[string]bool) // other lives of this VM
	asked := make(map[string]bool)
	for len(lives) > 0 {
		answers, err := p.askAll(ctx, lives)
		if err != nil {
			return last, err
		}
		for _, life := range lives {
			asked[life] = true
		}
		lives = nil
		for _, a := range answers {
			if a.Found && (!last.Found || a.later(last)) {
				last = a
			}
			for _, life := range a.Recent {
				switch {
				case asked[life] || slices.Contains(own, life) || slices.Contains(lives, life):
				case vmOf(life) == p.VM:
					unknown[life] = true
				default:
					lives = append(lives, life)
				}
			}
		}
	}
	delete(unknown, last.Life)
	if !last.Found || len(unknown) > 0 {
		return last, fmt.Errorf("%w: no router has a note of it", errNotVouched)
	}
	return last, nil
}

// askAll asks lives for the last note of this VM. All must answer.
func (p *Purse) askAll(ctx context.Context, lives []string) ([]Recalled, error) {
	out := make([]Recalled, len(lives))
	errs := make([]error, len(lives))
	var all sync.WaitGroup
	for n, life := range lives {
		all.Go(func() { out[n], errs[n] = p.AskLife(ctx, life) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotVouched, err)
	}
	return out, nil
}

// vouched takes in the bounds of the last life, in place of what the store's copy says of
// it. Between it and this one there must be none that the copy knows of.
func (j *journal) vouched(last Recalled, era uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := 0
	for life, f := range j.former {
		switch {
		case f.Since >= era:
		case life != last.Life && (len(f.Bounds) > 0 || f.Epoch > last.Epoch):
			return fmt.Errorf("%w: it is not known whether life %q had ended", errNotVouched, life)
		default:
			before++
		}
	}
	if _, known := j.former[last.Life]; !known && (before > 0 || last.Epoch != 1) {
		return fmt.Errorf("%w: the store's copy does not know it", errNotVouched)
	}
	j.former[last.Life] = formerLife{claim: claim{Bounds: last.Bounds}, Epoch: last.Epoch}
	return nil
}
