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
	clockTicksPerSecond = 100 // unit of the CPU times in /proc
	openBatchInterval   = 20 * time.Millisecond
	openBatchSize       = 50   // streams opened between two pauses of openBatchInterval
	readBufferSize      = 1024 // bytes per stream
)

// Measure is the configuration and state of one benchmark run.
type Measure struct {
	// Router is the address at which the router serves callers.
	Router string
	// PID is the process id of the router, which must run on this machine.
	PID int
	// Key is the workspace key that requests are sent with.
	Key string
	// Streams is the number of streams to open.
	Streams int
	// Tokens is the number of completion tokens that each stream asks for.
	Tokens int64
	// Warm is the warm-up time between opening the last stream and the measurement.
	Warm time.Duration
	// Duration is the length of the measurement.
	Duration time.Duration

	// open counts the streams opened so far, refused those that failed to open, and
	// events the events received on all streams.
	open, refused, events atomic.Int64
}

// Report is the result of a measurement.
type Report struct {
	// Open is the number of streams that were opened, ended ones included.
	Open int64 `json:"open"`
	// Refused is the number of streams that failed to open.
	Refused int64 `json:"refused"`
	// TokensPerSecond is the rate of events received over all streams.
	TokensPerSecond float64 `json:"tokens_per_s"`
	// ProcessorSeconds is the CPU time, user and system, that the router used.
	ProcessorSeconds float64 `json:"processor_s"`
	// TokensPerProcessor is the number of events received per second of CPU time.
	TokensPerProcessor float64 `json:"tokens_per_processor_s"`
	// ResidentKB is the resident memory of the router at the end, in KiB.
	ResidentKB int64 `json:"resident_kb"`
}

// sample holds the cumulative counters at one moment.
type sample struct {
	at         time.Time
	events     int64   // received on all streams
	cpuSeconds float64 // used by the router
}

// Run opens the streams, measures for Duration and returns the report. The streams
// stay open until the process ends.
func (m *Measure) Run() (Report, error) {
	for i := range m.Streams {
		if i%openBatchSize == openBatchSize-1 {
			time.Sleep(openBatchInterval)
		}
		go m.readEvents(i)
	}
	time.Sleep(m.Warm)
	before, err := m.takeSample()
	if err != nil {
		return Report{}, err
	}
	time.Sleep(m.Duration)
	after, err := m.takeSample()
	if err != nil {
		return Report{}, err
	}
	resident, err := m.residentKB()
	if err != nil {
		return Report{}, err
	}
	tokens := float64(after.events - before.events)
	r := Report{
		Open:             m.open.Load(),
		Refused:          m.refused.Load(),
		TokensPerSecond:  tokens / after.at.Sub(before.at).Seconds(),
		ProcessorSeconds: after.cpuSeconds - before.cpuSeconds,
		ResidentKB:       resident,
	}
	if r.ProcessorSeconds > 0 {
		r.TokensPerProcessor = tokens / r.ProcessorSeconds
	}
	return r, nil
}

// readEvents opens stream number i and counts its events until it ends.
func (m *Measure) readEvents(i int) {
	conn, err := net.Dial("tcp", m.Router)
	if err != nil {
		m.refused.Add(1)
		return
	}
	body := fmt.Sprintf(`{"model":"demo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello %d"}]}`, m.Tokens, i)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chat.PathCompletions, m.Key, len(body), body)
	reader := bufio.NewReaderSize(conn, readBufferSize)
	status, err := reader.ReadSlice('\n')
	if err != nil || !bytes.Contains(status, []byte(" 200 ")) {
		m.refused.Add(1)
		return
	}
	m.open.Add(1)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			m.events.Add(1)
		}
	}
}

// takeSample reads the counters now; the CPU time comes from /proc/PID/stat.
func (m *Measure) takeSample() (sample, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.PID))
	if err != nil {
		return sample{}, fmt.Errorf("read CPU time: %w", err)
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	const userTime, systemTime = 11, 12 // indexes of utime and stime after the process name
	if len(fields) <= systemTime {
		return sample{}, errors.New("read CPU time: too few fields in /proc/PID/stat")
	}
	var ticks int64
	for _, f := range []string{fields[userTime], fields[systemTime]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return sample{}, fmt.Errorf("read CPU time: %w", err)
		}
		ticks += n
	}
	return sample{at: time.Now(), events: m.events.Load(), cpuSeconds: float64(ticks) / clockTicksPerSecond}, nil
}

// residentKB returns the resident memory of the router from /proc/PID/status, in
// KiB.
func (m *Measure) residentKB() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID))
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return 0, errors.New("read resident memory: no VmRSS in /proc/PID/status")
}
