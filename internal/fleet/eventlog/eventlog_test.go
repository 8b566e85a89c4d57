package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// startLog runs the log in the background. The returned function stops it after all buffered
// lines are written.
func startLog(t *testing.T, l *Log) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// decodeLines decodes JSON lines into one map of fields for each line.
func decodeLines(t *testing.T, text []byte) []map[string]any {
	t.Helper()
	var out []map[string]any
	for raw := range bytes.Lines(text) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(raw, &fields))
		out = append(out, fields)
	}
	return out
}

func TestLineNamesEventComponentAndFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &Log{Out: &out, Format: "json"}
		stop := startLog(t, l)
		l.Emit(RequestRefused, "request_id", "r1", "status", 503, "err", errors.New("no tokens"))
		stop()
		lines := decodeLines(t, out.Bytes())
		assert.Equal(t, len(lines), 1)
		for name, want := range map[string]any{
			"msg": "request_refused", "component": "requests", "level": "warn",
			"request_id": "r1", "status": 503.0, "err": "no tokens",
		} {
			assert.Equal(t, lines[0][name], want, name)
		}
	})
}

func TestBudgetDropsOrdinaryLinesFirstAndTellsHowMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &Log{Out: &out, Format: "json", LinesPerSecond: 100}
		stop := startLog(t, l)
		for range 500 {
			l.Emit(RequestAnswered)
		}
		for range 20 {
			l.Emit(RequestRefused)
		}
		stop()
		lines := decodeLines(t, out.Bytes())
		counts := map[any]int{}
		for _, fields := range lines {
			counts[fields["msg"]]++
		}
		assert.Equal(t, counts["request_refused"], 20)
		assert.Equal(t, counts["request_answered"], 75)
		assert.Equal(t, lines[75]["dropped_lines"], 425.0)
	})
}

func TestBudgetComesBackWithTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &Log{Out: &out, Format: "json", LinesPerSecond: 100}
		stop := startLog(t, l)
		for range 5 {
			for range 200 {
				l.Emit(RequestRefused)
			}
			time.Sleep(time.Second)
		}
		stop()
		assert.Equal(t, len(decodeLines(t, out.Bytes())), 500)
	})
}

func TestBudgetOfBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := &Log{Out: &out, Format: "json", LinesPerSecond: 10_000, BytesPerSecond: 50_000}
		stop := startLog(t, l)
		long := strings.Repeat("x", 1000)
		for range 500 {
			l.Emit(RequestAnswered, "err", long)
		}
		for range 500 {
			l.Emit(RequestRefused, "err", long)
		}
		stop()
		counts := map[any]int{}
		for _, fields := range decodeLines(t, out.Bytes()) {
			counts[fields["msg"]]++
		}
		assert.Assert(t, counts["request_answered"] > 30 && counts["request_answered"] < 38, "%d low-priority lines", counts["request_answered"])
		assert.Assert(t, counts["request_refused"] > 9, "%d refusals", counts["request_refused"])
		assert.Assert(t, out.Len() < 52_000, "%d bytes", out.Len())
	})
}

// writeRecorder records each write separately.
type writeRecorder struct{ writes [][]byte }

func (r *writeRecorder) Write(b []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(b))
	return len(b), nil
}

// A pipe may accept only a part of a write that is longer than PIPE_BUF, so that its reader
// would get half a line.
func TestEachWriteHoldsWholeLinesThatAPipeTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &writeRecorder{}
		l := &Log{Out: out, Format: "json"}
		stop := startLog(t, l)
		for n := range 200 {
			l.Emit(RequestRefused, "err", strings.Repeat("x", 10*n))
		}
		l.Emit(RequestRefused, "err", strings.Repeat("x", 2*maxWriteBytes))
		stop()
		lines := 0
		for _, write := range out.writes {
			inWrite := len(decodeLines(t, write))
			lines += inWrite
			assert.Assert(t, len(write) <= maxWriteBytes || inWrite == 1, "%d bytes in one write", len(write))
		}
		assert.Equal(t, lines, 201)
	})
}

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex // guards out
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestReaderThatDoesNotReadStallsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		l := &Log{Out: w, Format: "json", LinesPerSecond: 10_000}
		stop := startLog(t, l)
		start := time.Now()
		long := strings.Repeat("x", 1000)
		for range 20 {
			for range 1000 {
				l.Emit(RequestRefused, "err", long)
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, time.Since(start), 2*time.Second)
		close(w.unblock)
		time.Sleep(time.Second)
		l.Emit(ProcessDrained)
		stop()
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Assert(t, w.out.Len() < 3*bufferBytes, "%d bytes were buffered", w.out.Len())
		lines := decodeLines(t, w.out.Bytes())
		dropped := 0
		for _, fields := range lines {
			if n, ok := fields["dropped_lines"].(float64); ok {
				dropped += int(n)
			}
		}
		assert.Equal(t, len(lines)+dropped, 20_001)
	})
}

func TestReferencePageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	assert.NilError(t, WriteReference(&want))
	have, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(have), want.String(), "run make generate")
}

func TestEachEventIsDescribed(t *testing.T) {
	for e := range eventCount {
		assert.Assert(t, specs[e].doc != "", "event %s", e)
	}
}

// discard is a writer that discards its input.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkEmit(b *testing.B) {
	for _, bench := range []struct {
		name  string
		lines int
	}{{"written", 1 << 40}, {"dropped", 1}} {
		b.Run(bench.name, func(b *testing.B) {
			l := &Log{Out: discard{}, Format: "json", LinesPerSecond: bench.lines, BytesPerSecond: 1 << 40}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%500 == 499 {
					l.sink.flush()
				}
				l.Emit(RequestAnswered, "request_id", "0123456789abcdef", "route", "r-1", "service", "s-1", "workspace", "w-1",
					"plan_version", uint64(12), "attempt", 1, "took_ms", int64(23), "run", "ran", "status", 200,
					"events", int64(17), "first_event_ms", int64(12), "used_tokens", int64(1200))
			}
		})
	}
}
