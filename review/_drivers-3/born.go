package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["born"] = born }

// clockBack is by how much the time of day of a runner's machine jumps back, at most what the site file has for clock_step.
const clockBack = 2400 * time.Millisecond

// lives is a runner that starts again under its id.
type lives struct {
	*runner
	s *store

	mu       sync.Mutex
	server   *http.Server
	bornMS   int64
	state    string
	seq      int
	leaving  bool
	reached  []time.Time
	quitBeat chan struct{}
}

func (l *lives) start(bornMS int64) {
	ln, err := net.Listen("tcp4", l.addr)
	check(err)
	l.mu.Lock()
	l.bornMS, l.state, l.seq = bornMS, "ready", 0
	l.server = &http.Server{Handler: l}
	l.quitBeat = make(chan struct{})
	server, quit := l.server, l.quitBeat
	l.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	l.beat()
	go func() {
		for {
			select {
			case <-quit:
				return
			case <-time.After(1200 * time.Millisecond):
				l.beat()
			}
		}
	}()
}

func (l *lives) beat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.s.put("servers", l.id, map[string]any{
		"backend": l.service, "address": l.addr, "zone": l.zone, "version": "v1", "capacity": 6, "lifecycle": l.state,
		"cold_remaining_ms": 0, "call_seq": l.seq, "born": l.bornMS,
	})
}

func (l *lives) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.quitBeat)
	_ = l.server.Close()
}

func (l *lives) drain() {
	l.mu.Lock()
	l.state, l.leaving = "draining", true
	l.mu.Unlock()
	l.beat()
}

// ServeHTTP answers like a runner, and says in its answers that it leaves.
func (l *lives) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path != "/v1/report" && r.URL.Path != "/healthz" && r.Header.Get("Rosevalve-Expect-Instance") == l.id {
		l.reached = append(l.reached, time.Now())
		note("%s reaches %s", r.Header.Get("Rosevalve-Attempt-Id"), l.id)
	}
	l.mu.Unlock()
	l.runner.ServeHTTP(w, r)
}

// born has a runner start again under its id, with an earlier time of start, and leave some seconds later.
func born(dir string, trouble bool) int {
	s, storeAddr := newStore()
	s.put("op", "config", config(1, 1_000_000))
	work := func(w http.ResponseWriter, _ *http.Request) bool {
		time.Sleep(15 * time.Millisecond)
		_, err := io.WriteString(w, "done")
		return err == nil
	}
	newRunner(s, "i-a", "app", "z1", work)
	routers := newRouters(dir, storeAddr, 3)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	number := 0
	send := func(n int) {
		var wg sync.WaitGroup
		for range n {
			for _, r := range routers {
				number++
				id := fmt.Sprintf("r%d", number)
				path := []string{"book", "read"}[number%2]
				wg.Add(1)
				go func() {
					defer wg.Done()
					note("client gets %d for %s (%s) from %s", plain(r.frontend, path, id), id, path, r.name)
				}()
			}
			time.Sleep(60 * time.Millisecond)
		}
		wg.Wait()
	}
	send(4)
	l := &lives{runner: &runner{id: "i-b", service: "app", zone: "z1", addr: freeAddr("127.0.0.1"), handle: work}, s: s}
	first := time.Now()
	note("i-b starts")
	l.start(first.UnixMilli())
	time.Sleep(500 * time.Millisecond)
	send(4)
	note("i-b crashes")
	l.crash()
	time.Sleep(700 * time.Millisecond)
	again := time.Now()
	if trouble {
		again = again.Add(-clockBack)
		note("the time of day of the machine of i-b has jumped back by %v", clockBack)
	}
	note("i-b starts again at the same address; born is %d ms later than before", again.Sub(first).Milliseconds())
	l.start(again.UnixMilli())
	time.Sleep(4 * time.Second)
	send(6)
	l.drain()
	confirmed := time.Now()
	note("the store has accepted that i-b is draining")
	time.Sleep(drainFor + 500*time.Millisecond)
	send(12)
	l.mu.Lock()
	defer l.mu.Unlock()
	late, before := 0, 0
	for _, at := range l.reached {
		if at.After(confirmed.Add(drainFor)) {
			late++
		} else if at.After(again.Add(clockBack)) {
			before++
		}
	}
	note("%d requests reached i-b between its second start and its leaving, %d later than drain_ms after the confirmation", before, late)
	if late > 0 {
		return broken
	}
	return held
}
