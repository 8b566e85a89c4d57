package prepaid

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/amount"
)

const (
	// mirrorGrace is the time after the last note to the mirror during which no more than its
	// bounds are used. It is about the time that a VM takes to restart after a power loss, so
	// that an incarnation that ends alone loses few tokens while the store is unreachable. An
	// incarnation that loses its mirror as well can use nothing beyond the bounds for that time.
	mirrorGrace = 4 * time.Second
	// mirrorFullSpendTime is the time after the grace period in which a whole holding may be
	// used.
	mirrorFullSpendTime = 4 * time.Second
	// mirrorTimeout limits one call to the mirror.
	mirrorTimeout = 150 * time.Millisecond
	// mirrorLookahead is the time whose expected demand the mirror's bounds include.
	mirrorLookahead = 700 * time.Millisecond
	// mirrorRetryDelay is the delay after a failed call to the mirror.
	mirrorRetryDelay = 50 * time.Millisecond
	// mirrorRefreshInterval is the maximum age of the mirror's copy.
	mirrorRefreshInterval = 2 * time.Second
)

// errMirrorRestarted reports that the mirror now runs as another incarnation than the one that
// was addressed.
var errMirrorRestarted = errors.New("mirror has restarted")

// Mirror is a router that keeps a copy of this incarnation's bounds.
type Mirror struct {
	// Addr is its address; empty if there is no mirror.
	Addr string
	// Available reports whether it is believed to run and not about to stop.
	Available bool
}

// MirrorNote carries an incarnation's bounds to its mirror. A note without ToIncarnation
// only requests the mirror's clock.
type MirrorNote struct {
	// VM and Incarnation identify the incarnation whose bounds these are.
	VM, Incarnation string
	// ToIncarnation is the incarnation of the mirror that keeps the note; no other incarnation
	// does.
	ToIncarnation string
	// Epoch counts the incarnations of the VM, and Seq the notes of the incarnation.
	Epoch, Seq int64
	// SentAt is an estimate of the mirror's clock when the note was sent, never ahead of it.
	SentAt time.Duration
	// Bounds are the bounds of each listed workspace.
	Bounds map[string]Bound
}

// MirrorResponse is a mirror's answer to a note.
type MirrorResponse struct {
	// Incarnation is the ID of the mirror's incarnation.
	Incarnation string
	// Clock is the mirror's clock, which continues during a suspend.
	Clock time.Duration
	// Kept reports whether the mirror has kept the note, or a later one.
	Kept bool
}

// mirror is the router that keeps a copy of this incarnation's journal with tighter bounds than
// the store's row. That row names the mirror, so that the next incarnation queries it; usage
// stays within the bounds of both. The copy helps only if the mirror outlives this incarnation.
// The journal's lock guards the fields.
type mirror struct {
	// addr and from are the mirror that the last acknowledged journal row names, and the
	// sequence number of the first note that counts.
	addr   string
	from   int64
	seq    int64
	bounds effectiveBounds
	// prior are the notes that limit usage until the first one to this mirror is kept: those
	// to the previous mirror, or an empty one if there was no mirror.
	prior []*boundsWrite
	// incarnation is the ID of the mirror's incarnation, and clock its most recent clock reading,
	// received at the local time clockAt.
	incarnation string
	clock       time.Duration
	clockAt     time.Time
	// lastCallFailed is set if the most recent call to the mirror failed.
	lastCallFailed bool
}

// usageLimit returns the number of tokens of a holding that the mirror's copy allows.
func (m *mirror) usageLimit(workspace string, drawn int64, now time.Time) int64 {
	out := int64(math.MaxInt64)
	for _, w := range m.inForce() {
		b, listed := w.bounds[workspace]
		if !listed {
			b.Rate = drawn/int64(mirrorFullSpendTime.Seconds()) + 1
		}
		out = min(out, b.limitAfter(drawn, now.Sub(w.sent)-mirrorGrace))
	}
	return out
}

// inForce returns the notes whose bounds apply. Of a workspace that a note does not list,
// nothing may be used before the grace period ends.
func (m *mirror) inForce() []*boundsWrite {
	if m.bounds.acked != nil {
		return m.bounds.inForce()
	}
	return append(m.bounds.inForce(), m.prior...)
}

// inForce returns the writes whose bounds apply: the acknowledged one, and the first that may
// have replaced it.
func (eb *effectiveBounds) inForce() []*boundsWrite {
	var out []*boundsWrite
	if eb.acked != nil {
		out = append(out, eb.acked)
	}
	if len(eb.pending) > 0 {
		out = append(out, eb.pending[0])
	}
	return out
}

// immediateBound returns the number of tokens that the mirror's copy allows without a delay: 0
// before the mirror has kept a note, and no limit without a mirror.
func (m *mirror) immediateBound(workspace string) int64 {
	if m.addr == "" {
		return math.MaxInt64
	}
	out := int64(math.MaxInt64)
	for _, w := range m.bounds.inForce() {
		out = min(out, w.bounds[workspace].Tokens)
	}
	if m.bounds.acked == nil {
		return 0
	}
	return out
}

// requestNote schedules a note to the mirror.
func (j *journal) requestNote() {
	select {
	case j.noteRequested <- struct{}{}:
	default:
	}
}

// setMirror records the mirror that the journal's row names. The notes to the previous mirror
// apply until the new one keeps a note. The caller holds mu.
func (j *journal) setMirror(addr string, from int64) {
	m := &j.mirror
	if m.addr == addr && m.from == from {
		return
	}
	prior := m.inForce()
	switch {
	case addr == "":
		// The next incarnation asks no mirror.
		prior = nil
	case m.addr == "":
		prior = []*boundsWrite{{sent: time.Now()}}
	}
	*m = mirror{addr: addr, from: from, seq: m.seq, bounds: effectiveBounds{grace: mirrorGrace}, prior: prior}
	j.requestNote()
}

// chooseMirror returns the mirror, and the first note that counts, for the next journal row.
func (m *Manager) chooseMirror() (addr string, from int64) {
	j := &m.journal
	j.mu.Lock()
	current, failing := j.mirror.addr, j.mirror.lastCallFailed
	from = j.mirror.from
	firstNote := j.mirror.seq + 1
	j.mu.Unlock()
	avoid := ""
	if failing {
		avoid = current
	}
	chosen := m.ChooseMirror(current, avoid)
	if chosen == current || chosen == "" && !failing {
		return current, from
	}
	return chosen, firstNote
}

// runMirror sends a note to the mirror when a reservation needs it or the copy reaches its
// maximum age, until ctx ends.
func (m *Manager) runMirror(ctx context.Context) {
	ticker := time.NewTicker(mirrorRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.journal.noteRequested:
		case <-ticker.C:
		}
		err := m.sendNote(ctx)
		m.reportMirror(err)
		m.admitWaiting()
		if err == nil {
			continue
		}
		// The next journal write may name another mirror.
		m.journal.requestWrite()
		if !sleep(ctx, mirrorRetryDelay) {
			return
		}
		m.journal.requestNote()
	}
}

// sendNote sends one note; before the first one it requests the mirror's clock.
func (m *Manager) sendNote(ctx context.Context) error {
	j := &m.journal
	j.mu.Lock()
	addr, known := j.mirror.addr, j.mirror.incarnation != ""
	j.mu.Unlock()
	if addr == "" {
		return nil
	}
	if !known {
		if err := m.fetchMirrorClock(ctx, addr); err != nil {
			return err
		}
	}
	w, note := m.beginNote(addr, time.Now())
	if w == nil {
		return nil
	}
	answer, err := m.callMirror(ctx, addr, note)
	return m.finishNote(addr, w, answer, err)
}

func (m *Manager) callMirror(ctx context.Context, addr string, note MirrorNote) (MirrorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	answer, err := m.SendNote(ctx, addr, note)
	if err != nil {
		return answer, fmt.Errorf("send note to mirror %s: %w", addr, err)
	}
	return answer, nil
}

// fetchMirrorClock requests the mirror's incarnation ID and clock.
func (m *Manager) fetchMirrorClock(ctx context.Context, addr string) error {
	answer, err := m.callMirror(ctx, addr, MirrorNote{VM: m.VM, Incarnation: m.incarnation()})
	j := &m.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.mirror.addr != addr {
		return nil
	}
	j.mirror.lastCallFailed = err != nil
	if err != nil {
		return err
	}
	j.mirror.updateClock(answer)
	return nil
}

// updateClock records the mirror's incarnation ID and clock. Local time is counted from the
// arrival of the answer, so that the estimate is never ahead of the mirror's clock.
func (m *mirror) updateClock(answer MirrorResponse) {
	m.incarnation, m.clock, m.clockAt = answer.Incarnation, answer.Clock, time.Now()
}

// beginNote computes the next note. It returns nil if the mirror has changed or its clock is
// not known.
func (m *Manager) beginNote(addr string, now time.Time) (*boundsWrite, MirrorNote) {
	j := &m.journal
	w := m.beginBounds(func(bounds map[string]Bound) *boundsWrite {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.mirror.addr != addr || j.mirror.incarnation == "" {
			return nil
		}
		j.mirror.seq++
		return j.mirror.bounds.begin(j.mirror.seq, bounds, now, 0)
	}, m.mirrorBound, now)
	if w == nil {
		return nil, MirrorNote{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	at := j.mirror.clock + w.sent.Sub(j.mirror.clockAt)
	return w, MirrorNote{VM: m.VM, Incarnation: m.incarnation(), ToIncarnation: j.mirror.incarnation, Epoch: j.epoch, Seq: w.seq, SentAt: at, Bounds: w.bounds}
}

// mirrorBound returns the bound of a holding for the next note. The caller holds h.mu.
func (m *Manager) mirrorBound(h *holding, now time.Time) Bound {
	rate := h.demand.TokenRate(now)
	lookahead := amount.FromFloat(rate * mirrorLookahead.Seconds())
	if m.headroomRemoved.Load() {
		lookahead = 0
	}
	tokens := min(h.drawn, amount.Add(h.spentOrAwaited(), lookahead))
	rateAfterGrace := max(rateFactor*rate, float64(h.drawn-tokens)/mirrorFullSpendTime.Seconds())
	return Bound{Tokens: tokens, Rate: amount.FromFloat(rateAfterGrace), ClosedUsage: h.row.ClosedUsage}
}

// finishNote records the outcome of a note; one with an unknown outcome stays pending.
func (m *Manager) finishNote(addr string, w *boundsWrite, answer MirrorResponse, err error) error {
	j := &m.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	mirror := &j.mirror
	if mirror.addr != addr {
		return nil
	}
	mirror.lastCallFailed = err != nil || !answer.Kept
	switch {
	case err != nil:
		return err
	case !answer.Kept:
		// A new incarnation of the mirror has no notes, and never accepts those to the previous
		// one.
		mirror.incarnation = ""
		mirror.prior = mirror.inForce()
		mirror.bounds = effectiveBounds{grace: mirrorGrace}
		return fmt.Errorf("send note to mirror %s: %w", addr, errMirrorRestarted)
	}
	mirror.bounds.ack(w)
	mirror.prior = nil
	mirror.updateClock(answer)
	return nil
}

// reportMirror reports when calls to the mirror begin to fail and when they succeed again.
func (m *Manager) reportMirror(err error) {
	j := &m.journal
	j.mu.Lock()
	changed := j.mirrorLossReported != (err != nil)
	j.mirrorLossReported = err != nil
	j.mu.Unlock()
	switch {
	case changed && err != nil:
		m.OnEvent(Event{Kind: MirrorLost, Err: err})
	case changed:
		m.OnEvent(Event{Kind: MirrorRecovered})
	}
}
