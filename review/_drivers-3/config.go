package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// The figures of nidurfall-rounds that the cases use.
const (
	// eventTokens is how many tokens an event of a stream holds.
	eventTokens = 6
	// promptTokens and answerEvents are the sizes of the requests to the engines.
	promptTokens = 200
	answerEvents = 20
	// mostTokens is what a request may consume at its most.
	mostTokens = promptTokens + eventTokens*answerEvents
	// contact is contact_ms.
	contact = 3 * time.Second
)

// config returns a configuration with a stream to the engines, and with a route that may run once and one that may run again
// to the application. The tenant has a balance.
func config(version, prepaid int) map[string]any {
	route := func(name, kind, backend string, timeoutMS, aimMS, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeoutMS,
			"target_latency_ms": aimMS, "priority": 1, "backend": backend, "max_attempts": attempts, "anonymous": false,
		}
	}
	ask := route("ask", "streaming", "llm", 15000, 600, 1)
	ask["session_affinity"], ask["stream_resume"], ask["gap_aim_ms"] = true, false, 250
	return map[string]any{
		"version": version,
		"routes":  []map[string]any{ask, route("book", "non_idempotent", "app", 1500, 100, 1), route("read", "idempotent", "app", 1500, 100, 2)},
		"backends": []map[string]any{
			{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls_enabled": false, "engine": map[string]any{
				"capacity": 64, "kv_tokens": 763122, "stride": eventTokens, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls_enabled": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}, "priority": 1, "prepaid": prepaid}},
	}
}

// ask sends a request to the engines on a new channel. It returns the status of the answer, or 0 without one, and how many events
// came.
func ask(addr, id string) (status, events int) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "POST /ask/1 HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Model: m\r\nRosevalve-Token-Count: %d,%d\r\nRosevalve-Prefix-Hash: aa:100,%x:100\r\nRosevalve-Deadline-Ms: 15000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n",
		id, promptTokens, eventTokens*answerEvents, rand.Uint32())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return resp.StatusCode, events
}

// stream answers with an event stream of some 110 ms.
func stream(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(20 * time.Millisecond)
	for k := 1; k <= answerEvents; k++ {
		time.Sleep(time.Duration(2+rand.IntN(6)) * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", k); err != nil {
			return false
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	return true
}
