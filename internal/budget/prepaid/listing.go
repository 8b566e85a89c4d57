package prepaid

import (
	"context"
	"fmt"
	"strings"

	"rosevalve/internal/platform/table"
)

// instanceSeparator separates the name of a VM from what distinguishes its instances.
const instanceSeparator = "#"

// NewIncarnationID returns the ID of an instance of a VM; unique must differ from that of every other
// instance of the VM.
func NewIncarnationID(vm, unique string) string { return vm + instanceSeparator + unique }

// vmOf returns the VM of an instance ID.
func vmOf(instance string) string {
	if n := strings.LastIndex(instance, instanceSeparator); n >= 0 {
		return instance[:n]
	}
	return instance
}

// awaitListed waits until the journal lists the workspace. Only then may tokens be drawn: the
// next instance finds the holdings of this one by the workspaces that its journal lists.
func (p *Manager) awaitListed(ctx context.Context, h *holding) error {
	if !p.journal.isOpen() {
		return fmt.Errorf("journal is not open: %w", table.ErrUnavailable)
	}
	h.mu.Lock()
	if h.listedSeq == 0 {
		h.listedSeq = p.journal.nextSeq()
	}
	from := h.listedSeq
	h.mu.Unlock()
	for {
		listed, acked := p.journal.isListed(h.workspace, from)
		if listed {
			return nil
		}
		p.journal.requestWrite()
		select {
		case <-acked:
		case <-ctx.Done():
			return fmt.Errorf("list the workspace in the journal: %w", table.ErrUnavailable)
		}
	}
}

// nextSeq returns the sequence number of the next write.
func (j *journal) nextSeq() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seq + 1
}

// isListed reports whether the write with sequence number from, or a later one, took effect
// and lists the workspace. The channel is closed when the next write takes effect.
func (j *journal) isListed(workspace string, from int64) (bool, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.nextAck == nil {
		j.nextAck = make(chan struct{})
	}
	if j.bounds.acked == nil || j.bounds.acked.seq < from {
		return false, j.nextAck
	}
	_, listed := j.bounds.acked.bounds[workspace]
	return listed, j.nextAck
}

// ackWrite records that a write took effect, and wakes those who wait for one. The caller
// holds mu.
func (j *journal) ackWrite(w *boundsWrite) {
	j.bounds.ack(w)
	if j.nextAck != nil {
		close(j.nextAck)
		j.nextAck = nil
	}
}
