package prepaid

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// mirrorGrace is how long after the last word to the mirror no more than its bounds
	// are used. It is about what a VM takes to start again after it lost power, so that
	// a life that ends alone loses little while the store is away. A life that loses its
	// mirror too stands still for that long.
	mirrorGrace = 4 * time.Second
	// mirrorSpread is the time in which all of a holding may be used after the grace.
	mirrorSpread = 4 * time.Second
	// mirrorTime bounds one call of the mirror.
	mirrorTime = 150 * time.Millisecond
	// mirrorAhead is the time whose demand the mirror covers ahead.
	mirrorAhead = 700 * time.Millisecond
	// mirrorPause is the time between calls while they fail.
	mirrorPause = 50 * time.Millisecond
	// mirrorRefresh is how old the mirror's copy may become while tokens are held.
	mirrorRefresh = 2 * time.Second
)

// errMirrorForgot reports that the mirror is another life than the one that was spoken to.
var errMirrorForgot = errors.New("mirror is a new life")

// Mirror is a router that is told this life's bounds.
type Mirror struct {
	// Addr is where it is reached; empty if there is none.
	Addr string
	// Live tells that it is believed to live and to stay.
	Live bool
}

// MirrorNote tells a mirror what a life may use. One without At only asks for the clock.
type MirrorNote struct {
	// VM and Life say whose bounds they are.
	VM, Life string
	// To is the life of the mirror that is meant; empty for any.
	To string
	// Epoch counts the lives of the VM, and Seq the notes of the life.
	Epoch, Seq int64
	// At is the mirror's clock when the note was sent, as estimated; never ahead of it.
	At time.Duration
	// Bounds are what may be used of each workspace that is named.
	Bounds map[string]Bound
}

// MirrorAnswer is what a mirror says.
type MirrorAnswer struct {
	// Life is the mirror's own.
	Life string
	// Clock is the mirror's, which does not stand still in a suspend.
	Clock time.Duration
	// Kept tells that the note was kept, or a later one.
	Kept bool
}

// mirror is the router that holds a closer copy of this life's journal than the store.
// The store's row names it, so that the next life asks it; what is used stays within the
// bounds of both. Its copy helps only if the mirror outlives this life. The journal's
// lock guards it.
type mirror struct {
	// addr and from are what the last acknowledged row of the journal names: the mirror,
	// and the first note that counts.
	addr string
	from int64
	seq  int64
	told cover
	// prior are the notes that bind until the first one is kept: those to the mirror before
	// this one, or that there was none.
	prior []*entry
	// life, clock and heard are those of the mirror as last heard.
	life  string
	clock time.Duration
	heard time.Time
	// failing tells that the last call failed.
	failing bool
}

// allows returns how many tokens of a holding the mirror's copy allows.
func (m *mirror) allows(workspace string, drawn int64, now time.Time) int64 {
	out := int64(math.MaxInt64)
	for _, e := range m.binding() {
		b, named := e.bounds[workspace]
		if !named {
			b.Rate = drawn/int64(mirrorSpread.Seconds()) + 1
		}
		out = min(out, b.after(drawn, now.Sub(e.sent)-mirrorGrace))
	}
	return out
}

// binding returns the notes whose bounds hold. One says of a workspace that it does not name
// that nothing of it may be used yet.
func (m *mirror) binding() []*entry {
	if m.told.acked != nil {
		return m.told.binding()
	}
	return append(m.told.binding(), m.prior...)
}

// binding returns the writes whose bounds hold: the one that took effect, and the first
// that may have replaced it.
func (c *cover) binding() []*entry {
	var out []*entry
	if c.acked != nil {
		out = append(out, c.acked)
	}
	if len(c.unsure) > 0 {
		out = append(out, c.unsure[0])
	}
	return out
}

// covered returns what the last note that was kept allows without waiting.
func (m *mirror) covered(workspace string) int64 {
	if m.addr == "" {
		return math.MaxInt64
	}
	out := int64(math.MaxInt64)
	for _, e := range m.told.binding() {
		out = min(out, e.bounds[workspace].Tokens)
	}
	if m.told.acked == nil {
		return 0
	}
	return out
}

// kickMirror asks for a note to the mirror.
func (j *journal) kickMirror() {
	select {
	case j.mirrorKicked <- struct{}{}:
	default:
	}
}

// nameMirror takes in that the journal's row names a mirror, which ends what another one
// binds. The caller holds mu.
func (j *journal) nameMirror(addr string, from int64) {
	m := &j.mirror
	if m.addr == addr && m.from == from {
		return
	}
	prior := m.binding()
	if m.addr == "" {
		prior = []*entry{{sent: time.Now()}}
	}
	*m = mirror{addr: addr, from: from, seq: m.seq, told: cover{grace: mirrorGrace}, prior: prior}
	j.kickMirror()
}

// chooseMirror returns what the next row of the journal names.
func (p *Purse) chooseMirror() (addr string, from int64) {
	j := &p.journal
	j.mu.Lock()
	current, failing := j.mirror.addr, j.mirror.failing
	from = j.mirror.from
	next := j.mirror.seq + 1
	j.mu.Unlock()
	besides := ""
	if failing {
		besides = current
	}
	chosen := p.PickMirror(current, besides)
	if chosen == current || chosen == "" {
		// A mirror that can not be replaced goes on to bind.
		return current, from
	}
	return chosen, next
}

// keepMirror tells the mirror when a reservation needs it, until ctx ends.
func (p *Purse) keepMirror(ctx context.Context) {
	tick := time.NewTicker(mirrorRefresh)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.journal.mirrorKicked:
		case <-tick.C:
		}
		err := p.tellMirror(ctx)
		p.noteMirror(err)
		p.grantAll()
		if err == nil {
			continue
		}
		// Another mirror has to be named in the store.
		p.journal.kick()
		if !sleep(ctx, mirrorPause) {
			return
		}
		p.journal.kickMirror()
	}
}

// tellMirror sends one note; before the first one it asks for the mirror's clock.
func (p *Purse) tellMirror(ctx context.Context) error {
	j := &p.journal
	j.mu.Lock()
	addr, known := j.mirror.addr, j.mirror.life != ""
	j.mu.Unlock()
	if addr == "" {
		return nil
	}
	if !known {
		if err := p.askClock(ctx, addr); err != nil {
			return err
		}
	}
	e, note := p.beginNote(addr, time.Now())
	if e == nil {
		return nil
	}
	answer, err := p.callMirror(ctx, addr, note)
	return p.settleNote(addr, e, answer, err)
}

func (p *Purse) callMirror(ctx context.Context, addr string, note MirrorNote) (MirrorAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTime)
	defer cancel()
	answer, err := p.TellMirror(ctx, addr, note)
	if err != nil {
		return answer, fmt.Errorf("tell mirror %s: %w", addr, err)
	}
	return answer, nil
}

// askClock learns the mirror's life and clock.
func (p *Purse) askClock(ctx context.Context, addr string) error {
	answer, err := p.callMirror(ctx, addr, MirrorNote{VM: p.VM, Life: p.Life})
	j := &p.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.mirror.addr != addr {
		return nil
	}
	j.mirror.failing = err != nil
	if err != nil {
		return err
	}
	j.mirror.hear(answer)
	return nil
}

// hear takes in the mirror's life and clock. The clock is counted on from when the answer
// came, so that the estimate is never ahead of it.
func (m *mirror) hear(answer MirrorAnswer) {
	m.life, m.clock, m.heard = answer.Life, answer.Clock, time.Now()
}

// beginNote decides the bounds of the next note. It returns nil if the mirror has changed
// or there is nothing to tell.
func (p *Purse) beginNote(addr string, now time.Time) (*entry, MirrorNote) {
	j := &p.journal
	e := p.beginBounds(func(bounds map[string]Bound) *entry {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.mirror.addr != addr || j.mirror.life == "" {
			return nil
		}
		j.mirror.seq++
		return j.mirror.told.begin(j.mirror.seq, bounds, now)
	}, p.mirrorBound, now)
	if e == nil {
		return nil, MirrorNote{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	at := j.mirror.clock + e.sent.Sub(j.mirror.heard)
	return e, MirrorNote{VM: p.VM, Life: p.Life, To: j.mirror.life, Epoch: j.epoch, Seq: e.seq, At: at, Bounds: e.bounds}
}

// mirrorBound returns what the next note allows of a holding. The caller holds its lock.
func (p *Purse) mirrorBound(h *holding, now time.Time) Bound {
	rate := h.asked.Rate(now)
	ahead := int64(rate * mirrorAhead.Seconds())
	if p.sealed.Load() {
		ahead = 0
	}
	tokens := min(h.drawn, h.wanted()+ahead)
	over := max(rateFactor*rate, float64(h.drawn-tokens)/mirrorSpread.Seconds())
	return Bound{Tokens: tokens, Rate: int64(over), Past: h.row.Past}
}

// settleNote takes in how a note ended; one whose end is not known stays unsure.
func (p *Purse) settleNote(addr string, e *entry, answer MirrorAnswer, err error) error {
	j := &p.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	m := &j.mirror
	if m.addr != addr {
		return nil
	}
	m.failing = err != nil || !answer.Kept
	switch {
	case err != nil:
		return err
	case !answer.Kept:
		// A new life of the mirror has kept no note, and never keeps those to the last one.
		m.life = ""
		m.prior = m.binding()
		m.told = cover{grace: mirrorGrace}
		return fmt.Errorf("tell mirror %s: %w", addr, errMirrorForgot)
	}
	m.told.ack(e)
	m.prior = nil
	m.hear(answer)
	return nil
}

// noteMirror tells that calls of the mirror have begun to fail, or to go well again.
func (p *Purse) noteMirror(err error) {
	j := &p.journal
	j.mu.Lock()
	changed := j.mirrorLost != (err != nil)
	j.mirrorLost = err != nil
	j.mu.Unlock()
	switch {
	case changed && err != nil:
		p.OnEvent(Event{Kind: MirrorLost, Err: err})
	case changed:
		p.OnEvent(Event{Kind: MirrorRegained})
	}
}
