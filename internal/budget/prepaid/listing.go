package prepaid

import (
	"context"
	"fmt"

	"rosevalve/internal/platform/table"
)

// awaitListed waits until the journal lists the workspace. Only then may tokens be drawn: the
// next incarnation finds the holdings of this one by the workspaces that its journal lists.
func (m *Manager) awaitListed(ctx context.Context, h *holding) error {
	if !m.journal.isOpen() {
		return fmt.Errorf("journal is not open: %w", table.ErrUnavailable)
	}
	h.mu.Lock()
	if h.listedSeq == 0 {
		h.listedSeq = m.journal.nextSeq()
	}
	from := h.listedSeq
	h.mu.Unlock()
	for {
		listed, acked := m.journal.isListed(h.workspace, from)
		if listed {
			return nil
		}
		m.journal.requestWrite()
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
	// Replicas sent before do not count for the next write, whose bounds include them.
	j.seq = max(j.seq, j.replicaUpTo)
	if j.nextAck != nil {
		close(j.nextAck)
		j.nextAck = nil
	}
}
