package eventlog

import (
	"context"
	"io"
	"sync"
	"time"
)

// flushTimeout bounds the wait for the reader of the log at the end of the process.
const flushTimeout = 200 * time.Millisecond

// Writer buffers the lines of a logger, so that logging does not wait for the reader of the log. Lines
// are dropped while the buffer is full. Run must be running.
type Writer struct {
	// Out receives the lines.
	Out io.Writer
	// OnDropped is called with the number of lines that were dropped, once lines are accepted again.
	OnDropped func(lines int)

	once sync.Once
	sink *sink

	mu      sync.Mutex // guards dropped
	dropped int        // lines since the last call of OnDropped
}

func (w *Writer) init() {
	w.once.Do(func() { w.sink = newSink(w.Out) })
}

// Write buffers or drops one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	if !w.sink.full() {
		return w.sink.Write(line)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
	return len(line), nil
}

// Run writes buffered lines to Out until ctx ends, then writes the lines still buffered and returns.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	w.sink.afterFlush = w.reportDropped
	w.sink.run(ctx)
}

// reportDropped calls OnDropped if lines were dropped and lines are accepted again.
func (w *Writer) reportDropped() {
	if w.sink.full() {
		return
	}
	w.mu.Lock()
	n := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if n > 0 {
		w.OnDropped(n)
	}
}

// Start calls run in the background. The returned function ends its context and waits until it has
// returned, but not long if nobody reads the log.
func Start(run func(ctx context.Context)) (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		run(ctx)
	}()
	return func() {
		stop()
		select {
		case <-flushed:
		case <-time.After(flushTimeout):
		}
	}
}
