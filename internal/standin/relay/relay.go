package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/chat"
)

const (
	clockTicks   = 100 // of /proc, a second
	openPause    = 20 * time.Millisecond
	streamsAtOne = 50 // streams opened between pauses
	lineSize     = 1024
)

// Measure opens streams and watches the router that relays them.
type Measure struct {
	// Router is the router's address for callers.
	Router string
	// PID is the router's process.
	PID int
	// Key is a workspace key.
	Key string
	// Streams is the number of streams.
	Streams int
	// Tokens is the number of tokens that each stream asks for.
	Tokens int64
	// Warm is the time from the last stream's opening to the measurement.
	Warm time.Duration
	// Duration is the length of the measurement.
	Duration time.Duration

	open, refused, events atomic.Int64
}

// Report is what a measurement has found.
type Report struct {
	Open               int64   `json:"open"`
	Refused            int64   `json:"refused"`
	TokensPerSecond    float64 `json:"tokens_per_s"`
	ProcessorSeconds   float64 `json:"processor_s"`
	TokensPerProcessor float64 `json:"tokens_per_processor_s"`
	ResidentKB         int64   `json:"resident_kb"`
}

// usage is what the process has used at a moment.
type usage struct {
	at        time.Time
	events    int64
	processor float64
}

// Run opens the streams, measures and returns, leaving the streams to the process's end.
func (m *Measure) Run() (Report, error) {
	for i := range m.Streams {
		if i%streamsAtOne == streamsAtOne-1 {
			time.Sleep(openPause)
		}
		go m.stream(i)
	}
	time.Sleep(m.Warm)
	before, err := m.usage()
	if err != nil {
		return Report{}, err
	}
	time.Sleep(m.Duration)
	after, err := m.usage()
	if err != nil {
		return Report{}, err
	}
	resident, err := m.resident()
	if err != nil {
		return Report{}, err
	}
	tokens := float64(after.events - before.events)
	r := Report{
		Open:             m.open.Load(),
		Refused:          m.refused.Load(),
		TokensPerSecond:  tokens / after.at.Sub(before.at).Seconds(),
		ProcessorSeconds: after.processor - before.processor,
		ResidentKB:       resident,
	}
	if r.ProcessorSeconds > 0 {
		r.TokensPerProcessor = tokens / r.ProcessorSeconds
	}
	return r, nil
}

// stream opens one stream and counts its events.
func (m *Measure) stream(i int) {
	conn, err := net.Dial("tcp", m.Router)
	if err != nil {
		m.refused.Add(1)
		return
	}
	body := fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello %d"}]}`, m.Tokens, i)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chat.PathCompletions, m.Key, len(body), body)
	lines := bufio.NewReaderSize(conn, lineSize)
	status, err := lines.ReadSlice('\n')
	if err != nil || !bytes.Contains(status, []byte(" 200 ")) {
		m.refused.Add(1)
		return
	}
	m.open.Add(1)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			m.events.Add(1)
		}
	}
}

// usage reads the processor time of the router's process.
func (m *Measure) usage() (usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.PID))
	if err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return usage{}, errors.New("read processor time: too few fields")
	}
	var ticks int64
	for _, f := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return usage{}, fmt.Errorf("read processor time: %w", err)
		}
		ticks += n
	}
	return usage{at: time.Now(), events: m.events.Load(), processor: float64(ticks) / clockTicks}, nil
}

// resident reads the memory of the router's process.
func (m *Measure) resident() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, errors.New("read memory: no VmRSS")
}
