package prepaid

import (
	"context"
	"fmt"
	"strings"

	"rosevalve/internal/platform/table"
)

// lifeMark stands between the name of a VM and what tells its lives apart.
const lifeMark = "#"

// NameLife names a life of a VM by something that no other life of it has.
func NameLife(vm, unique string) string { return vm + lifeMark + unique }

// vmOf returns the VM of a life.
func vmOf(life string) string {
	if n := strings.LastIndex(life, lifeMark); n >= 0 {
		return life[:n]
	}
	return life
}

// name returns once the journal names the workspace. Only then may tokens be drawn: the
// next life finds the holdings of this one by the names in its journal.
func (p *Purse) name(ctx context.Context, h *holding) error {
	if !p.journal.isOpen() {
		return fmt.Errorf("journal is not open: %w", table.ErrUnavailable)
	}
	h.mu.Lock()
	if h.named == 0 {
		h.named = p.journal.nextWrite()
	}
	from := h.named
	h.mu.Unlock()
	for {
		named, acked := p.journal.names(h.workspace, from)
		if named {
			return nil
		}
		p.journal.kick()
		select {
		case <-acked:
		case <-ctx.Done():
			return fmt.Errorf("name the workspace in the journal: %w", table.ErrUnavailable)
		}
	}
}

// nextWrite returns the number of the write that begins next.
func (j *journal) nextWrite() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seq + 1
}

// names reports whether a write that took effect names the workspace, and was that
// write or a later one. The channel is closed when the next one takes effect.
func (j *journal) names(workspace string, from int64) (bool, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.acked == nil {
		j.acked = make(chan struct{})
	}
	if j.cover.acked == nil || j.cover.acked.seq < from {
		return false, j.acked
	}
	_, named := j.cover.acked.bounds[workspace]
	return named, j.acked
}

// ack takes in that a write took effect. The caller holds mu.
func (j *journal) ack(e *entry) {
	j.cover.ack(e)
	if j.acked != nil {
		close(j.acked)
		j.acked = nil
	}
}
