package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endless }

const (
	// endlessBalance is the balance of the tenant in this case.
	endlessBalance = 300_000
	// endlessEach is how many answers of the runner in trouble there are to one without end, so x = 0.02 as garble has it.
	endlessEach = 50
)

// withoutEnd answers with events at the pace of a sound stream, until the caller closes.
func withoutEnd(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(20 * time.Millisecond)
	for k := 1; ; k++ {
		time.Sleep(time.Duration(2+rand.IntN(6)) * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", k); err != nil {
			note("a runner's answer without end was closed after %d events; the request allows %d", k-1, answerEvents)
			return false
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
}

// endless has one of three runners send some of its answers without end while a tenant uses its balance.
func endless(dir string, trouble bool) int {
	s, storeAddr := newStore()
	s.put("op", "config", config(1, endlessBalance))
	for n := range 2 {
		newRunner(s, fmt.Sprintf("i-llm%d", n+1), "llm", fmt.Sprintf("z%d", n+1), stream)
	}
	var count atomic.Int64
	newRunner(s, "i-llm3", "llm", "z3", func(w http.ResponseWriter, r *http.Request) bool {
		if n := count.Add(1); trouble && n%endlessEach == 0 {
			return withoutEnd(w, r)
		}
		return stream(w, r)
	})
	routers := newRouters(dir, storeAddr, 3)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	a := &account{answers: map[int]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.use(stop, routers, w)
		}()
	}
	a.awaitEnd()
	close(stop)
	wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	note("%d tokens were delivered of a balance of %d; answers by status %v", a.delivered, endlessBalance, a.answers)
	if a.delivered > endlessBalance {
		return broken
	}
	return held
}
