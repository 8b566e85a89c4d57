package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	defaultLinesPerSecond = 400
	defaultBytesPerSecond = 256 << 10
	// lowPriorityShare is the fraction of the rate limit that low-priority events may use.
	lowPriorityShare = 0.75
)

// Log writes events to Out. Run must be running for lines to be written.
type Log struct {
	// Out receives the lines.
	Out io.Writer
	// Format is json for JSON lines; any other value selects text.
	Format string
	// LinesPerSecond limits the lines written, with bursts of up to one second's worth.
	// Zero means 400.
	LinesPerSecond int
	// BytesPerSecond limits the bytes written, with bursts of up to one second's worth.
	// Zero means 256 KiB.
	BytesPerSecond int

	once   sync.Once
	sink   *sink
	logger *log.Logger

	mu         sync.Mutex // guards the fields below
	lineCredit float64    // number of lines that may be written now
	byteCredit float64    // number of bytes that may be written now; negative after a long line
	refilledAt time.Time  // when the credits were last refilled
	dropped    int64      // lines dropped since the last line that was written
}

func (l *Log) init() {
	l.once.Do(func() {
		if l.LinesPerSecond == 0 {
			l.LinesPerSecond = defaultLinesPerSecond
		}
		if l.BytesPerSecond == 0 {
			l.BytesPerSecond = defaultBytesPerSecond
		}
		formatter := log.TextFormatter
		if l.Format == "json" {
			formatter = log.JSONFormatter
		}
		l.sink = newSink(l.Out)
		l.logger = log.NewWithOptions(l.sink, log.Options{
			Formatter:       formatter,
			ReportTimestamp: true,
			TimeFormat:      "2006-01-02T15:04:05.000000Z07:00",
			TimeFunction:    func(t time.Time) time.Time { return t.UTC() },
		})
		l.lineCredit = float64(l.LinesPerSecond)
		l.byteCredit = float64(l.BytesPerSecond)
		l.refilledAt = time.Now()
	})
}

// Run writes emitted lines to Out until ctx ends, then writes the lines still buffered and
// returns.
func (l *Log) Run(ctx context.Context) {
	l.init()
	l.sink.run(ctx)
}

// Emit logs an event with keyvals, which alternate between keys and values. The line is
// dropped if it exceeds the rate limit or if the buffer is full. Emit does not block on Out.
func (l *Log) Emit(e Event, keyvals ...any) {
	l.init()
	s := specs[e]
	dropped, ok := l.allow(s.lowPriority)
	if !ok {
		return
	}
	fields := make([]any, 0, len(keyvals)+4)
	fields = append(fields, "component", s.component)
	fields = append(fields, keyvals...)
	if dropped > 0 {
		fields = append(fields, "dropped_lines", dropped)
	}
	if s.warning {
		l.logger.Warn(e.String(), fields...)
		return
	}
	l.logger.Info(e.String(), fields...)
}

// allow reports whether a line may be written now and charges it to the line limit. It also
// returns the number of lines dropped since the previous line, which this line must report.
func (l *Log) allow(lowPriority bool) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	reserved := 0.0
	if lowPriority {
		reserved = 1 - lowPriorityShare
	}
	ok := l.lineCredit >= 1+reserved*float64(l.LinesPerSecond) && l.byteCredit > reserved*float64(l.BytesPerSecond)
	if !ok || l.sink.full() {
		l.dropped++
		return 0, false
	}
	l.lineCredit--
	dropped := l.dropped
	l.dropped = 0
	return dropped, true
}

// refill adds the credit for the time since the previous call and charges the bytes of the
// lines formatted since then, whose lengths are known only afterwards. l.mu must be held.
func (l *Log) refill() {
	now := time.Now()
	elapsed := now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	lines, bytes := float64(l.LinesPerSecond), float64(l.BytesPerSecond)
	l.lineCredit = min(lines, l.lineCredit+elapsed*lines)
	l.byteCredit = min(bytes, l.byteCredit+elapsed*bytes) - float64(l.sink.takeUncharged())
}
