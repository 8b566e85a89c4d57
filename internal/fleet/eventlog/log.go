package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	defaultLines = 400
	// ordinaryShare is the part of the budget that ordinary events may use.
	ordinaryShare = 0.75
)

// Log writes events.
type Log struct {
	// Out receives the lines.
	Out io.Writer
	// Format is text or json.
	Format string
	// LinesPerSecond bounds the lines; ordinary events get a part of them.
	LinesPerSecond int

	once   sync.Once
	sink   *sink
	logger *log.Logger

	mu      sync.Mutex // guards the fields below
	tokens  float64    // lines that may be written now
	at      time.Time
	dropped int64 // lines since the last one that was written
}

func (l *Log) init() {
	l.once.Do(func() {
		if l.LinesPerSecond == 0 {
			l.LinesPerSecond = defaultLines
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
		l.tokens = float64(l.LinesPerSecond)
		l.at = time.Now()
	})
}

// Run writes the lines until ctx ends, and then those that are left.
func (l *Log) Run(ctx context.Context) {
	l.init()
	l.sink.run(ctx)
}

// Emit writes one line with pairs of names and values, if the budget allows it. It does
// not wait.
func (l *Log) Emit(e Event, pairs ...any) {
	l.init()
	s := specs[e]
	dropped, ok := l.allow(s.ordinary)
	if !ok {
		return
	}
	fields := make([]any, 0, len(pairs)+4)
	fields = append(fields, "component", s.component)
	fields = append(fields, pairs...)
	if dropped > 0 {
		fields = append(fields, "dropped_lines", dropped)
	}
	if s.failure {
		l.logger.Warn(e.String(), fields...)
		return
	}
	l.logger.Info(e.String(), fields...)
}

// allow takes one line out of the budget. It returns how many were dropped since the
// last one, which this line tells.
func (l *Log) allow(ordinary bool) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rate := float64(l.LinesPerSecond)
	l.tokens = min(rate, l.tokens+now.Sub(l.at).Seconds()*rate)
	l.at = now
	least := 1.0
	if ordinary {
		least += (1 - ordinaryShare) * rate
	}
	if l.tokens < least || l.sink.full() {
		l.dropped++
		return 0, false
	}
	l.tokens--
	dropped := l.dropped
	l.dropped = 0
	return dropped, true
}
