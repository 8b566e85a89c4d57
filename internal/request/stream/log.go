package stream

import (
	"sync"

	"rosevalve/internal/request/answer"
)

// Log is the growing answer of one run.
type Log struct {
	mu      sync.Mutex // guards the fields below
	events  [][]byte
	usage   []byte
	done    bool
	failure *answer.Error
	changed chan struct{} // closed on a change, if someone waits
	readers int
}

// Append adds an event, which the log keeps, unless the log has ended.
func (l *Log) Append(event []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.events = append(l.events, event)
	l.wake()
}

// Finish ends the log with the event that reports the usage, or with a failure.
// It reports whether this call has ended the log.
func (l *Log) Finish(usage []byte, failure *answer.Error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return false
	}
	l.done = true
	l.usage = usage
	l.failure = failure
	l.wake()
	return true
}

// Events returns the events so far.
func (l *Log) Events() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}

// Compact replaces the events of a whole answer that nobody is reading.
func (l *Log) Compact(compact func(events [][]byte) [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done || l.failure != nil || l.readers > 0 {
		return
	}
	l.events = compact(l.events)
}

// Usage returns the event that reports the usage, once the log has ended.
func (l *Log) Usage() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

// Len returns the number of events so far.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

// Poll returns the events from the offset on, whether the log has ended behind
// them, and the failure it ended with. If there is nothing yet, it returns a
// channel that is closed at the next change.
func (l *Log) Poll(offset int) (events [][]byte, done bool, failure *answer.Error, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) > offset || l.done {
		return l.events[offset:len(l.events):len(l.events)], l.done, l.failure, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return nil, false, nil, l.changed
}

// Join counts a reader.
func (l *Log) Join() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers++
}

// Leave removes a reader that Join counted.
func (l *Log) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers--
	if l.readers == 0 {
		l.wake()
	}
}

// Abandoned reports whether no reader is left.
func (l *Log) Abandoned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers == 0
}

func (l *Log) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
