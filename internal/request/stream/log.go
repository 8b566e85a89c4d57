package stream

import (
	"sync"

	"rosevalve/internal/request/answer"
)

// Log holds the answer of one run as the events received so far, and counts its
// readers. The zero value is an empty log without readers.
type Log struct {
	mu      sync.Mutex // guards the fields below
	events  [][]byte
	usage   []byte // event that reports the usage, set by Finish
	done    bool
	failure *answer.Error
	changed chan struct{} // closed at the next change; nil if no reader waits
	readers int
}

// Append adds an event unless the log has ended. The log retains the slice, which
// must not be modified afterwards.
func (l *Log) Append(event []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.events = append(l.events, event)
	l.notify()
}

// Finish ends the log with the event that reports the usage, or with a failure. It
// has no effect on a log that has ended, and reports whether this call has ended it.
func (l *Log) Finish(usage []byte, failure *answer.Error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return false
	}
	l.done = true
	l.usage = usage
	l.failure = failure
	l.notify()
	return true
}

// Events returns the events appended so far.
func (l *Log) Events() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}

// Compact replaces the events by the result of compact if the log has ended without
// a failure and has no readers.
func (l *Log) Compact(compact func(events [][]byte) [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.done || l.failure != nil || l.readers > 0 {
		return
	}
	l.events = compact(l.events)
}

// Usage returns the event that reports the usage, or nil before the log has ended.
func (l *Log) Usage() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}

// Len returns the number of events appended so far.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

// Poll returns the events from the offset on, whether the log has ended, and the
// failure with which it ended. If the log has not ended and has no event at the
// offset, Poll returns only a channel that is closed at the next change.
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

// AddReader adds a reader.
func (l *Log) AddReader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers++
}

// RemoveReader removes a reader that AddReader has added.
func (l *Log) RemoveReader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers--
	if l.readers == 0 {
		l.notify()
	}
}

// HasNoReaders reports whether the log has no readers.
func (l *Log) HasNoReaders() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers == 0
}

// notify wakes the readers that wait for a change. The caller holds mu.
func (l *Log) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
