package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/demand"
	"rosevalve/internal/platform/table"
)

const (
	// drawTime is how long a request waits for a draw before others are asked.
	drawTime      = 100 * time.Millisecond
	maxDrawTries  = 6
	conflictPause = 10 * time.Millisecond
)

// errNothingLeft reports that the store has fewer tokens than a draw needs.
var errNothingLeft = errors.New("store has too few tokens left")

func isExhausted(err error) bool { return errors.Is(err, errNothingLeft) }

// awaitDraw waits for a draw that counts n tokens more, for a time; the draw goes on.
func (p *Purse) awaitDraw(ctx context.Context, h *holding, n int64) error {
	h.mu.Lock()
	h.asked.Wait(n - h.gifts)
	f := h.flight
	if f == nil {
		f = &flight{done: make(chan struct{})}
		h.flight = f
		go func() {
			p.fly(h, f)
			p.invite(h)
		}()
	}
	h.mu.Unlock()
	if p.journal.away() {
		// The draw goes on, but the request does not wait for it.
		return fmt.Errorf("draw for workspace %q: store did not answer a moment ago: %w", h.workspace, table.ErrUnavailable)
	}
	timer := time.NewTimer(drawTime)
	defer timer.Stop()
	select {
	case <-f.done:
		return f.err
	case <-timer.C:
		return fmt.Errorf("draw for workspace %q: store takes longer than %v: %w", h.workspace, drawTime, table.ErrUnavailable)
	case <-ctx.Done():
		return fmt.Errorf("draw for workspace %q: %w", h.workspace, ctx.Err())
	}
}

// fly makes one draw for all that wait for it.
func (p *Purse) fly(h *holding, f *flight) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	h.mu.Lock()
	need := h.asked.Next(h.free())
	h.mu.Unlock()
	_, err := p.draw(ctx, h, need)
	f.err = err
	h.mu.Lock()
	h.flight = nil
	h.mu.Unlock()
	close(f.done)
	p.noteDraw(h, need.Least, err)
}

// draw takes tokens from the workspace's total, and closes what an ended life of this
// VM has left there.
func (p *Purse) draw(ctx context.Context, h *holding, need demand.Need) (int64, error) {
	var lastErr error
	if err := p.awaitConsulted(ctx); err != nil {
		return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
	}
	for range maxDrawTries {
		if err := p.prepareDraw(ctx, h); err != nil {
			return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
		}
		plan, err := p.planDraw(h, need)
		if err != nil {
			return 0, err
		}
		if plan.tokens == 0 && plan.closes == "" {
			return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, errNothingLeft)
		}
		c, err := plan.commit(p, h.workspace)
		if err != nil {
			return 0, err
		}
		stamp, err := p.Commit(ctx, c)
		p.hear(stamp)
		if err == nil && !p.drew(h, plan, stamp) {
			err = errors.Join(errEraPassed, table.ErrUnavailable)
		}
		if err == nil {
			if plan.tokens >= need.Least {
				return plan.tokens, nil
			}
			continue
		}
		lastErr = err
		if err := p.learn(ctx, h, err); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("draw for workspace %q: %w", h.workspace, lastErr)
}

// prepareDraw names the workspace in the journal and makes its rows stand in the store's
// era.
func (p *Purse) prepareDraw(ctx context.Context, h *holding) error {
	if _, settled := p.eras.current(); !settled {
		return fmt.Errorf("%w: %w", errUnsettled, table.ErrUnavailable)
	}
	if err := p.name(ctx, h); err != nil {
		return err
	}
	return p.bring(ctx, h)
}

// plannedDraw is one commit of a draw.
type plannedDraw struct {
	era      uint64
	tokens   int64
	allotted int64 // after the commit
	row      holdingRow
	closes   string // the ended life whose holding is closed, if any
	returned int64  // what comes back by that

	totalVersion, rowVersion uint64
}

// planDraw decides what a draw takes.
func (p *Purse) planDraw(h *holding, need demand.Need) (plannedDraw, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known {
		return plannedDraw{}, fmt.Errorf("draw for workspace %q: %w: %w", h.workspace, errEraPassed, table.ErrUnavailable)
	}
	epoch := p.journal.epochOf()
	if h.row.Epoch > epoch {
		return plannedDraw{}, fmt.Errorf("draw for workspace %q: %w", h.workspace, errReplaced)
	}
	d := plannedDraw{
		era:          h.era,
		allotted:     h.allotted,
		row:          h.row,
		totalVersion: h.totalVersion,
		rowVersion:   h.rowVersion,
	}
	if h.row.Life != "" && h.row.Life != p.Life {
		d.closes = h.row.Life
		used := p.journal.usedBy(h.row.Life, h.workspace, h.row.Tokens)
		d.returned = h.row.Tokens - used
		d.allotted -= d.returned
		d.row = holdingRow{Past: h.row.Past + used}
	}
	need.Available = max(0, p.Prepaid(h.workspace)-d.allotted)
	d.tokens = min(p.Size(need), need.Available)
	if d.tokens == 0 && need.Least > 0 {
		// Others may give what the store lacks.
		d.tokens = need.Available
	}
	d.allotted += d.tokens
	d.row = holdingRow{Life: p.Life, Epoch: epoch, Tokens: d.row.Tokens + d.tokens, Past: d.row.Past}
	return d, nil
}

func (d plannedDraw) commit(p *Purse, workspace string) (table.Commit, error) {
	var c table.Commit
	total, holding := totalPlace(workspace, d.era), p.holdingPlace(workspace, d.era)
	c.RequireAt(total, d.totalVersion)
	c.RequireAt(holding, d.rowVersion)
	fence(&c, workspace, d.era)
	if err := c.SetAt(total, totalRow{Allotted: d.allotted}); err != nil {
		return c, fmt.Errorf("draw: %w", err)
	}
	if err := c.SetAt(holding, d.row); err != nil {
		return c, fmt.Errorf("draw: %w", err)
	}
	return c, nil
}

// drew takes in a draw that took effect. It reports false if that was in an era that has
// passed, with what was drawn.
func (p *Purse) drew(h *holding, d plannedDraw, stamp table.Stamp) bool {
	h.mu.Lock()
	if h.era != d.era || stamp.Era != d.era {
		h.mu.Unlock()
		return false
	}
	h.totalVersion, h.rowVersion = stamp.Version, stamp.Version
	h.allotted = d.allotted
	h.row = d.row
	h.drawn = d.row.Tokens
	h.mu.Unlock()
	if d.tokens > 0 {
		p.OnEvent(Event{Kind: Drawn, Workspace: h.workspace, Tokens: d.tokens, Left: p.left(h)})
	}
	if d.closes != "" {
		p.journal.closed(d.closes, h.workspace)
		p.OnEvent(Event{Kind: FormerClosed, Workspace: h.workspace, Tokens: d.returned})
	}
	return true
}

// left returns what the store has left of the workspace's total, as last seen.
func (p *Purse) left(h *holding) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.Prepaid(h.workspace) - h.allotted
}

// learn reads why a draw did not take effect, so that the next one can. It returns an
// error if there is no use in another try.
func (p *Purse) learn(ctx context.Context, h *holding, err error) error {
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		if err := p.seeConflict(h, conflict.Rows); err != nil {
			return err
		}
		// Others draw from the same total at the same time.
		sleep(ctx, rand.N(conflictPause))
		return nil
	case errors.Is(err, table.ErrUnavailable):
		return fmt.Errorf("draw for workspace %q: %w", h.workspace, err)
	default:
		// The draw may have taken effect, or may later; the rows tell, and the next
		// draw rules out that it does after that.
		if readErr := p.lookUp(ctx, h); readErr != nil {
			return errors.Join(err, readErr)
		}
		return nil
	}
}

// lookUp reads the rows of the total and of this VM's holding, in whichever era they stand,
// and those of all VMs if the total stands in an earlier one.
func (p *Purse) lookUp(ctx context.Context, h *holding) error {
	era := h.eraOf()
	total := totalPlace(h.workspace, era)
	rows, err := p.readRows(ctx, table.Range{Table: total.Table, Partition: total.Partition, From: total.Key, To: table.Behind(total.Key)})
	if err != nil {
		return err
	}
	more := inAllEras(p.holdingPlace(h.workspace, era), prefixVM+p.VM)
	if len(rows) == 0 {
		more = allRows(h.workspace)
	}
	others, err := p.readRows(ctx, more)
	if err != nil {
		return err
	}
	return p.see(h, era, append(rows, others...))
}

// readRows reads a range of a workspace's rows.
func (p *Purse) readRows(ctx context.Context, r table.Range) ([]table.Row, error) {
	var rows []table.Row
	for {
		page, err := p.Read(ctx, r)
		p.hear(page.Stamp)
		if err != nil {
			return nil, fmt.Errorf("read rows of partition %q: %w", r.Partition, err)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		r.From = table.Behind(page.Rows[len(page.Rows)-1].Key)
	}
}

// see takes in the rows of the total and of this VM's holding; one that is missing
// does not exist. Rows that do not all stand in the era are kept to be brought into it. The
// era is the one that was present when they were asked for.
func (p *Purse) see(h *holding, era uint64, rows []table.Row) error {
	f, err := p.findRows(h.workspace, era, rows)
	if err != nil {
		return err
	}
	h.mu.Lock()
	if h.era != era {
		h.mu.Unlock()
		return fmt.Errorf("tokens of workspace %q: %w: %w", h.workspace, errEraPassed, table.ErrUnavailable)
	}
	if !p.stands(h, &f) {
		h.known, h.found = false, &f
		h.mu.Unlock()
		return nil
	}
	before := h.drawn
	h.totalVersion, h.rowVersion = f.total.Version, f.row.Version
	p.adopt(h, f.allotted, f.holding)
	found := h.drawn - before
	h.mu.Unlock()
	if found > 0 {
		// The answer of an earlier draw was lost.
		p.OnEvent(Event{Kind: Drawn, Workspace: h.workspace, Tokens: found, Left: p.left(h)})
	}
	return nil
}

// seeConflict takes in the rows of a commit that did not take effect. If the total is not
// among them, all have to be read.
func (p *Purse) seeConflict(h *holding, rows []table.Row) error {
	era := h.eraOf()
	total := totalPlace(h.workspace, era)
	if slices.ContainsFunc(rows, func(r table.Row) bool { return r.Place == total && r.Version != noVersion }) {
		return p.see(h, era, rows)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.found = false, nil
	return nil
}

// stands reports whether the rows need not be brought into the era. The caller holds h.mu.
func (p *Purse) stands(h *holding, f *found) bool {
	if !f.totalIn(h.era) {
		return false
	}
	return f.rowIn(h.era) || !f.rowExists && p.truth(h, f) == holdingRow{}
}

func (j *journal) isOpen() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.open && !j.replaced
}

func (j *journal) epochOf() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epoch
}
