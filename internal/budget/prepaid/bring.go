package prepaid

import (
	"context"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

// fencedEras is in how many eras after its own a commit that is still under way finds that
// it is too late, once the workspace's rows stand in one of them.
const fencedEras = 2

// found is what the store shows of a workspace: its total and the row of this VM, each from
// the latest era that has it.
type found struct {
	total, row             table.Row
	totalEra, rowEra       uint64
	totalExists, rowExists bool
	allotted               int64
	holding                holdingRow
}

// findRows reads a workspace's rows. If its total does not stand in the era, the rows must
// be all there are: what they count together is allotted, whatever an older total says,
// which commits may have changed that were still under way when the era began.
func (p *Purse) findRows(workspace string, era uint64, rows []table.Row) (found, error) {
	var f found
	latest := make(map[string]holdingAt)
	for _, r := range rows {
		if r.Deleted || r.Version == noVersion {
			continue
		}
		name, rowEra, err := splitKey(r.Key)
		if err == nil && name == keyTotal {
			err = f.takeTotal(r, rowEra)
		} else if err == nil {
			err = takeHolding(latest, name, r, rowEra)
		}
		if err != nil {
			return found{}, fmt.Errorf("tokens of workspace %q: %w", workspace, err)
		}
	}
	if own, ok := latest[prefixVM+p.VM]; ok {
		f.row, f.rowEra, f.rowExists, f.holding = own.row, own.era, true, own.holding
	}
	if !f.totalIn(era) {
		f.allotted = 0
		for _, h := range latest {
			f.allotted += h.holding.counted()
		}
	}
	return f, nil
}

// holdingAt is a VM's row in an era.
type holdingAt struct {
	row     table.Row
	era     uint64
	holding holdingRow
}

func (f *found) takeTotal(r table.Row, era uint64) error {
	if f.totalExists && f.totalEra > era {
		return nil
	}
	var total totalRow
	if err := r.Decode(&total); err != nil {
		return err
	}
	f.total, f.totalEra, f.totalExists, f.allotted = r, era, true, total.Allotted
	return nil
}

func takeHolding(latest map[string]holdingAt, name string, r table.Row, era uint64) error {
	if last, ok := latest[name]; ok && last.era > era {
		return nil
	}
	in := holdingAt{row: r, era: era}
	if err := r.Decode(&in.holding); err != nil {
		return err
	}
	latest[name] = in
	return nil
}

// totalIn reports whether the total stands in the era.
func (f *found) totalIn(era uint64) bool { return f.totalExists && f.totalEra == era }

// rowIn reports whether the VM's row stands in the era.
func (f *found) rowIn(era uint64) bool { return f.rowExists && f.rowEra == era }

// bring makes the rows of the workspace stand in the present era, as this life knows them.
func (p *Purse) bring(ctx context.Context, h *holding) error {
	for range maxDrawTries {
		b, err := p.planBring(h)
		switch {
		case err != nil:
			return err
		case b.known:
			return nil
		case !b.planned:
			if err := p.lookUp(ctx, h); err != nil {
				return err
			}
			continue
		}
		stamp, err := p.Commit(ctx, b.commit)
		p.hear(stamp)
		if err == nil && p.brought(h, b, stamp) {
			return nil
		}
		h.forgetFound()
		if errors.Is(err, table.ErrUnavailable) {
			return fmt.Errorf("bring tokens of workspace %q into the store's era: %w", h.workspace, err)
		}
	}
	return fmt.Errorf("bring tokens of workspace %q into the store's era: %w: rows have changed", h.workspace, table.ErrUnavailable)
}

// bringing is one commit that makes rows stand in the present era.
type bringing struct {
	known    bool // there is no need for it
	planned  bool
	era      uint64
	commit   table.Commit
	allotted int64
	holding  holdingRow
	// corrected is by how much the VM's part of the total differs from what the store showed.
	corrected int64
	// setsHolding tells that the VM's row is written, which else does not exist.
	setsHolding bool
}

// planBring decides what the rows are to be.
func (p *Purse) planBring(h *holding) (bringing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known || h.found == nil {
		return bringing{known: h.known}, nil
	}
	f := h.found
	b := bringing{planned: true, era: h.era, holding: p.truth(h, f)}
	b.corrected = b.holding.counted() - f.holding.counted()
	b.allotted = f.allotted + b.corrected
	err := b.setTotal(h.workspace, f)
	if f.rowExists || b.holding != (holdingRow{}) {
		b.setsHolding = true
		err = errors.Join(err, b.setHolding(p, h.workspace, f))
	}
	if err != nil {
		return bringing{}, fmt.Errorf("bring tokens of workspace %q into the store's era: %w", h.workspace, err)
	}
	return b, nil
}

// setTotal writes the total.
func (b *bringing) setTotal(workspace string, f *found) error {
	at := totalPlace(workspace, b.era)
	fence(&b.commit, workspace, b.era)
	if f.totalIn(b.era) {
		b.commit.RequireAt(at, f.total.Version)
		return b.commit.SetAt(at, totalRow{Allotted: b.allotted})
	}
	b.commit.RequireAt(at, noVersion)
	if f.totalExists {
		b.commit.RequireAt(f.total.Place, f.total.Version)
		b.commit.RemoveAt(f.total.Place)
	}
	return b.commit.SetAt(at, totalRow{Allotted: b.allotted})
}

// fence keeps a commit that is late from taking effect on a workspace whose rows stand in a
// later era. That a row does not exist can not be taken for another version of it.
func fence(c *table.Commit, workspace string, era uint64) {
	for n := uint64(1); n <= fencedEras; n++ {
		c.RequireAt(totalPlace(workspace, era+n), noVersion)
	}
}

// setHolding writes the VM's row, in place of one of an earlier era.
func (b *bringing) setHolding(p *Purse, workspace string, f *found) error {
	at := p.holdingPlace(workspace, b.era)
	b.commit.RequireAt(at, noVersion)
	if f.rowExists {
		b.commit.RequireAt(f.row.Place, f.row.Version)
		b.commit.RemoveAt(f.row.Place)
	}
	return b.commit.SetAt(at, b.holding)
}

// truth returns what the VM's row is to say: what this life remembers, what ended lives can
// have used at most, or what an earlier era says. The caller holds h.mu.
func (p *Purse) truth(h *holding, f *found) holdingRow {
	if h.truth != nil {
		return *h.truth
	}
	if closed, ok := p.journal.closedBefore(h.workspace, h.era); ok {
		return holdingRow{Past: closed}
	}
	return f.holding
}

// closedBefore bounds what the VM's holdings of a workspace have used, if ended lives that
// began before the era may have had some. What the store shows of these may be too old.
func (j *journal) closedBefore(workspace string, era uint64) (int64, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var past, used int64
	named := false
	for _, f := range j.former {
		b, ok := f.Bounds[workspace]
		if !ok || f.Since >= era {
			continue
		}
		named = true
		past = max(past, b.Past)
		used += f.used(workspace, math.MaxInt64/4)
	}
	return past + used, named
}

// brought takes in that rows stand in the era now; it reports false if that has passed.
func (p *Purse) brought(h *holding, b bringing, stamp table.Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.era != b.era || stamp.Era != b.era {
		return false
	}
	h.totalVersion, h.rowVersion = stamp.Version, noVersion
	if b.setsHolding {
		h.rowVersion = stamp.Version
	}
	p.adopt(h, b.allotted, b.holding)
	p.eras.correct(b.era, b.corrected)
	return true
}

// adopt takes in the rows of the present era. The caller holds h.mu.
func (p *Purse) adopt(h *holding, allotted int64, row holdingRow) {
	if h.row.Life == p.Life && row.Life != p.Life {
		// The answer of the return that closed it was lost.
		h.startAnew()
	}
	h.allotted, h.row = allotted, row
	h.known, h.found, h.truth = true, nil, nil
	if row.Life == p.Life {
		h.drawn = row.Tokens
	}
}

// forgetFound makes the next look at the rows a new one.
func (h *holding) forgetFound() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.found = nil
}
