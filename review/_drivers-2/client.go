package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rosevalve/platform/standin"
)

// request is one client attempt.
type request struct {
	path, key string
	in, out   int // tokens; no prompt if in is 0
	deadline  time.Duration
	prefix    string // the parts of the prompt; if empty, two parts are made up
}

// answered is what a client got.
type answered struct {
	id       string
	status   int
	body     string
	events   int // of a stream
	complete bool
	err      error
}

var attempts atomic.Int64

// newClient returns a client that keeps its channels.
func newClient() *http.Client {
	d := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// send sends one client attempt to a machine and reads the answer.
func (in *installation) send(c *http.Client, m *machine, q request) (a answered) {
	a.id = fmt.Sprintf("a%06d", attempts.Add(1))
	defer func() {
		in.rec.printf("answered %s status %d, %d events, complete %v, error %v", a.id, a.status, a.events, a.complete, a.err)
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+m.ip+":8740"+q.path, bytes.NewReader([]byte("body of "+a.id)))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("Rosevalve-Attempt-Id", a.id)
	req.Header.Set("Rosevalve-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Api-Key", q.key)
	if q.in > 0 {
		req.Header.Set("Rosevalve-Model", "m")
		req.Header.Set("Rosevalve-Token-Count", fmt.Sprintf("%d,%d", q.in, q.out))
		prefix := q.prefix
		if prefix == "" {
			prefix = fmt.Sprintf("5c1e07a2:%d,%x:%d", q.in/2, 0x10000+attempts.Load(), q.in-q.in/2)
		}
		req.Header.Set("Rosevalve-Prefix-Hash", prefix)
	}
	in.rec.printf("sent     %s to %s, path %s, tokens %d,%d", a.id, m.name, q.path, q.in, q.out)
	limited := *c
	limited.Timeout = q.deadline + time.Second
	resp, err := limited.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	a.body, a.err = string(b), err
	a.complete = err == nil
	if resp.StatusCode == http.StatusOK {
		a.events = len(standin.Events(a.body))
	}
	return a
}
