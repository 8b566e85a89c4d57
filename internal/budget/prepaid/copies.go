package prepaid

import (
	"sync"
	"time"
)

// keepCopy is how long a copy is kept after it was last renewed. A VM that comes back
// later has only its own journal.
const keepCopy = 10 * time.Minute

// copies are the last notes of other VMs.
type copies struct {
	mu    sync.Mutex // guards notes
	notes map[string]MirrorNote
}

// Recalled is what a mirror knows of an ended life.
type Recalled struct {
	// Found tells that it has a note of the life.
	Found bool
	// Life, Epoch, Seq and Bounds are those of the note.
	Life       string
	Epoch, Seq int64
	Bounds     map[string]Bound
	// Age is the time since the note was sent, at the most.
	Age time.Duration
	// Recent are the lives of other VMs that this router believes to run, or to have run a
	// moment ago.
	Recent []string
}

// later reports whether the note is a later one of the same VM.
func (r Recalled) later(other Recalled) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Seq > other.Seq
}

// Keep takes in a note of another VM, as its mirror.
func (p *Purse) Keep(note MirrorNote) MirrorAnswer {
	p.init()
	answer := MirrorAnswer{Life: p.Life, Clock: p.Clock()}
	if note.To != p.Life {
		return answer
	}
	c := &p.others
	c.mu.Lock()
	defer c.mu.Unlock()
	answer.Kept = true
	last, ok := c.notes[note.VM]
	if ok && (last.Epoch > note.Epoch || last.Epoch == note.Epoch && last.Seq >= note.Seq) {
		return answer
	}
	if c.notes == nil {
		c.notes = make(map[string]MirrorNote)
	}
	c.notes[note.VM] = note
	c.forget(answer.Clock)
	return answer
}

// forget drops what is too old. The caller holds mu.
func (c *copies) forget(now time.Duration) {
	for vm, note := range c.notes {
		if now-note.At > keepCopy {
			delete(c.notes, vm)
		}
	}
}

// Recall returns what this router knows of an ended life of another VM, or of its last one
// if life is empty.
func (p *Purse) Recall(vm, life string) Recalled {
	p.init()
	c := &p.others
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Recalled{Recent: p.Recent()}
	note, ok := c.notes[vm]
	if !ok || life != "" && note.Life != life {
		return out
	}
	out.Found, out.Life, out.Epoch, out.Seq, out.Bounds = true, note.Life, note.Epoch, note.Seq, note.Bounds
	out.Age = max(0, p.Clock()-note.At)
	return out
}
