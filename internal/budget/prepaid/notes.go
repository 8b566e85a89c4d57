package prepaid

import (
	"sync"
	"time"
)

// noteRetention is how long a note is kept after it was sent. A VM that restarts later than
// that has only its own journal.
const noteRetention = 10 * time.Minute

// noteStore holds the most recent note of each VM that uses this router as its mirror.
type noteStore struct {
	mu    sync.Mutex // guards notes
	notes map[string]MirrorNote
}

// RecalledNote is what a mirror knows of an ended incarnation.
type RecalledNote struct {
	// Found reports whether the mirror has a note of the incarnation.
	Found bool
	// Life is the incarnation that the note is from. Epoch, Seq and Bounds are those of the
	// note.
	Life       string
	Epoch, Seq int64
	Bounds     map[string]Bound
	// Age is the maximum time since the note was sent.
	Age time.Duration
	// RecentIncarnations are the incarnations of other VMs that this router believes to run, or
	// to have run recently.
	RecentIncarnations []string
}

// newerThan reports whether the note is newer than another one of the same VM.
func (r RecalledNote) newerThan(other RecalledNote) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Seq > other.Seq
}

// StoreNote stores a note of another VM, as its mirror.
func (m *Manager) StoreNote(note MirrorNote) MirrorResponse {
	m.init()
	answer := MirrorResponse{Incarnation: m.Incarnation, Clock: m.Clock()}
	if note.ToIncarnation != m.Incarnation {
		return answer
	}
	s := &m.peerNotes
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Kept = true
	last, ok := s.notes[note.VM]
	if ok && (last.Epoch > note.Epoch || last.Epoch == note.Epoch && last.Seq >= note.Seq) {
		return answer
	}
	if s.notes == nil {
		s.notes = make(map[string]MirrorNote)
	}
	s.notes[note.VM] = note
	s.evictExpired(answer.Clock)
	return answer
}

// evictExpired removes notes that have exceeded the retention time. The caller holds mu.
func (s *noteStore) evictExpired(now time.Duration) {
	for vm, note := range s.notes {
		if now-note.SentAt > noteRetention {
			delete(s.notes, vm)
		}
	}
}

// RecallNote returns the last note of an ended incarnation of another VM, or the VM's last note
// if incarnation is empty.
func (m *Manager) RecallNote(vm, incarnation string) RecalledNote {
	m.init()
	s := &m.peerNotes
	s.mu.Lock()
	defer s.mu.Unlock()
	out := RecalledNote{RecentIncarnations: m.recentIncarnations()}
	note, ok := s.notes[vm]
	if !ok || incarnation != "" && note.Incarnation != incarnation {
		return out
	}
	out.Found, out.Life, out.Epoch, out.Seq, out.Bounds = true, note.Incarnation, note.Epoch, note.Seq, note.Bounds
	out.Age = max(0, m.Clock()-note.SentAt)
	return out
}
