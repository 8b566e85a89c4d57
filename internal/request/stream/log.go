package stream

import (
	"context"
	"sync"
	"time"

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

// Next waits for events from the offset on, or for the end of the log.
//
// It returns the events, whether the log has ended behind them, and the failure
// it ended with; the error is that of ctx.
func (l *Log) Next(ctx context.Context, offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		l.mu.Lock()
		if len(l.events) > offset || l.done {
			events := l.events[offset:len(l.events):len(l.events)]
			done, failure := l.done, l.failure
			l.mu.Unlock()
			return events, done, failure, nil
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, nil, ctx.Err()
		case <-changed:
		}
	}
}

// Waiting waits for the first event or the end of the log, and reports whether
// neither has come within the timeout.
func (l *Log) Waiting(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _, _, err := l.Next(ctx, 0)
	return err != nil
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
