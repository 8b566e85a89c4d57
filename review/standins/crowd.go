//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

const (
	// maxFDs is limits.max_fds of a machine.
	maxFDs = 4100
	// usualClients is the number of clients at usual times, and burstFactor is how many times as many a burst brings.
	usualClients = 2500
	burstFactor  = 1.7
	burstLength  = 3 * time.Second
	// longestPause is how long a client leaves its channel idle at most: four fifths of idle_timeout_ms are 24 s.
	longestPause = 20 * time.Second
	// steadyClients of these send long requests all the time, each on one channel that it keeps.
	steadyClients = 200
	longWork      = 4 * time.Second
)

// crowdConfig has one idempotent route to a plain service.
const crowdConfig = `{"version":1,
 "routes":[{"name":"read","hostname":"h.example","path_prefix":"/read/","route_kind":"idempotent","timeout_ms":8000,"target_latency_ms":5000,"priority":1,"backend":"s","max_attempts":2,"anonymous":true}],
 "backends":[{"name":"s","health_path":"/healthz","max_connections":500}],
 "tenants":[],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":30000}}`

// crowd counts what the clients saw.
type crowd struct {
	w       *world
	addr    string
	stopped atomic.Bool

	asked, served, failed, noChannel atomic.Int64

	mu    sync.Mutex // guards ended
	ended []string   // requests on kept channels that ended with the channel and without an answer
}

// client sends requests on one channel that it keeps, as long as the router keeps it.
func (c *crowd) client(path string, pause func() time.Duration) {
	for !c.stopped.Load() {
		conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
		if err != nil {
			c.noChannel.Add(1)
			time.Sleep(time.Second)
			continue
		}
		br := bufio.NewReader(conn)
		for n := 0; !c.stopped.Load(); n++ {
			id := fmt.Sprintf("%016x", c.w.requests.Add(1))
			c.asked.Add(1)
			status, err := exchange(conn, br, path, id)
			c.w.log("client asked %s, %s, request %d on its channel: status %d, %v", path, id, n+1, status, err)
			if err != nil {
				c.failed.Add(1)
				if n > 0 && status == 0 && !c.stopped.Load() && !isTimeout(err) {
					c.mu.Lock()
					c.ended = append(c.ended, id)
					c.mu.Unlock()
				}
				break
			}
			if status == http.StatusOK {
				c.served.Add(1)
			}
			time.Sleep(pause())
		}
		_ = conn.Close()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// exchange sends one request and reads its answer. The status is 0 if no answer has begun.
func exchange(conn net.Conn, br *bufio.Reader, path, id string) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Deadline-Ms: 8000\r\n\r\n", path, id)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.Close {
		err = io.EOF
	}
	return resp.StatusCode, err
}

// come lets n clients begin, spread over a time. Each leaves its channel idle between two requests, for nine tenths of a
// pause on average.
func (c *crowd) come(n int, path string, pause, over time.Duration) {
	for range n {
		go c.client(path, func() time.Duration { return time.Duration((0.8 + 0.2*rand.Float64()) * float64(pause)) })
		time.Sleep(over / time.Duration(n))
	}
}

// playCrowd checks LOST: many users come at once.
func playCrowd(w *world) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3*maxFDs {
		return false, fmt.Errorf("this machine allows too few descriptors for the clients: %d, %v", limit.Cur, err)
	}
	w.store.Put("op", "config", []byte(crowdConfig))
	for _, id := range []string{"i-1", "i-2"} {
		if err := w.addPlainRunner(id); err != nil {
			return false, err
		}
	}
	r, err := w.addRouter("a", -1)
	if err != nil {
		return false, err
	}
	r.maxFDs = maxFDs
	if err := errors.Join(r.start(), r.waitReady()); err != nil {
		return false, err
	}
	c := &crowd{w: w, addr: r.frontend}
	c.come(steadyClients, "/read/long", 0, 4*time.Second)
	c.come(usualClients-steadyClients, "/read/short", longestPause, 16*time.Second)
	w.note("%d clients have come", usualClients)
	time.Sleep(10 * time.Second)
	if w.trouble {
		c.come(int((burstFactor-1)*usualClients), "/read/short", longestPause, burstLength)
		w.note("%d clients have come", int(burstFactor*usualClients))
	}
	time.Sleep(10 * time.Second)
	c.stopped.Store(true)
	exited := r.exited()
	lost := c.lost()
	w.note("%d requests: %d served, %d failed; %d channels could not be opened", c.asked.Load(), c.served.Load(), c.failed.Load(), c.noChannel.Load())
	w.note("the router's process: %s", exited)
	w.note("%d requests on kept channels were passed on to a sound runner and ended with the channel, without an answer (3 are allowed)", lost)
	return lost > 3, nil
}

// lost returns how many requests on kept channels had reached a runner and ended with the channel.
func (c *crowd) lost() int {
	reached := make(map[string]bool)
	for _, r := range c.w.runners {
		for _, in := range r.Received() {
			reached[in.Attempt] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, id := range c.ended {
		if reached[id] {
			n++
		}
	}
	return n
}

// addPlainRunner starts a runner of service s and announces it.
func (w *world) addPlainRunner(id string) error {
	return w.addRunnerOf("s", id, func(in standin.Received) standin.Reply {
		if strings.HasSuffix(in.Path, "/long") {
			return standin.Reply{Body: "done", Delay: longWork}
		}
		return standin.Reply{Body: "done", Delay: 5 * time.Millisecond}
	})
}
