package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// slowAnswer is the size of the answer in bytes, and slowRate how many of them the client reads in a second.
	slowAnswer = 960 << 10
	slowRate   = 75 << 10
	// slowDeadline is the client's, which leaves time for the whole answer.
	slowDeadline = 15 * time.Second
	// segment is the largest TCP segment on an Ethernet link.
	segment = 1448
)

// config is a configuration with a route that may run once and one that may run again.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "book", "hostname": "h.example", "path_prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 2, "backend": "app", "max_attempts": 1},
			{"name": "read", "hostname": "h.example", "path_prefix": "/read/", "route_kind": "idempotent", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 2, "backend": "app", "max_attempts": 2},
		},
		"backends": []map[string]any{{"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// slowReader has clients read answers slowly while their router is stopped.
func slowReader(dir string, trouble bool) int {
	s, storeAddr := newStore()
	s.put("op", "config", config(1))
	body := strings.Repeat("0123456789abcdef", slowAnswer/16)
	app := newRunner(s, "i-app1", "app", "z1", func(w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		n, err := io.WriteString(w, body)
		return err == nil && n == len(body)
	})
	routers := newRouters(dir, storeAddr, 2)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	time.Sleep(4 * time.Second)
	const clients = 4
	ends := make(chan bool, clients)
	sent := time.Now()
	for n := range clients {
		go func() { ends <- readSlowly(routers[0].frontend, fmt.Sprintf("b%d", n), body, sent) }()
	}
	time.Sleep(time.Second)
	if trouble {
		note("SIGTERM to %s", routers[0].name)
		routers[0].signal(syscall.SIGTERM)
		go func() { <-routers[0].exited; note("%s has exited", routers[0].name) }()
	}
	lost := 0
	for range clients {
		if !<-ends {
			lost++
		}
	}
	for n := range clients {
		for _, is := range app.runsOf(fmt.Sprintf("b%d", n)) {
			note("runner %s ran %s from %.3f to %.3f s, whole answer written: %v", is.runner, is.id, is.began.Sub(rec.began).Seconds(), is.ended.Sub(rec.began).Seconds(), is.whole)
		}
	}
	note("%d of %d requests were read whole, passed on and answered by their runner, and their channels ended without a complete answer", lost, clients)
	if lost > 0 {
		return broken
	}
	return held
}

// readSlowly sends a request and reads its answer at slowRate. It reports whether the whole answer came.
func readSlowly(addr, id, want string, sent time.Time) bool {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			if optErr == nil {
				optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
			}
		})
		if err == nil {
			err = optErr
		}
		return err
	}}
	c, err := d.Dial("tcp4", addr)
	check(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Deadline-Ms: %d\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbook", id, slowDeadline.Milliseconds())
	check(err)
	note("client sends %s to %s", id, addr)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		note("client gets no answer to %s: %v", id, err)
		return false
	}
	got := 0
	var readErr error
	buf := make([]byte, slowRate/20)
	for readErr == nil && got < len(want) {
		var n int
		n, readErr = io.ReadFull(resp.Body, buf[:min(len(buf), len(want)-got)])
		got += n
		time.Sleep(50 * time.Millisecond)
	}
	whole := got == len(want) && resp.StatusCode == http.StatusOK
	note("client has status %d and %d of %d bytes of %s after %.3f s (deadline %v): whole %v, error %v", resp.StatusCode, got, len(want), id, time.Since(sent).Seconds(), slowDeadline, whole, readErr)
	return whole
}
