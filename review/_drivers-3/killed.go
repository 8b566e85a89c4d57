package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["killed"] = killed }

const (
	// balance lasts its tenant for about 45 s, as on the days of the sheet.
	balance = 1_100_000
	// owedShare is the share of the balance into which a request must fit at its most to be owed.
	owedShare = 0.97
	// killAfter is how long the tenant uses its balance before the kill, and downFor how long the processes are away.
	killAfter = 12 * time.Second
	downFor   = 700 * time.Millisecond
	// clients is the number of clients that send requests one after the other.
	clients = 10
)

// account is what the clients have seen.
type account struct {
	mu        sync.Mutex
	answers   map[int]int // by status; 0 without an answer
	sent      int
	delivered int // tokens, of prompts and events that reached a client
	atMost    int // tokens of all requests that were not refused, each at its most
	false402  int // of requests that are owed, by machines in touch
	inTouch   time.Time
}

// begin counts a request and reports whether it is owed.
func (a *account) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	a.atMost += mostTokens
	return float64(a.atMost) <= owedShare*balance
}

func (a *account) end(began time.Time, owed bool, status, events int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[status]++
	if events > 0 {
		a.delivered += promptTokens + eventTokens*events
	}
	if status == 402 || status == 503 {
		a.atMost -= mostTokens
	}
	if status == 402 && owed && began.After(a.inTouch) {
		a.false402++
	}
}

func (a *account) tell(when string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	note("%s: %d of %d prepaid tokens were delivered; %d if each request that was not refused counts at its most; answers by status %v, 402 in error %d",
		when, a.delivered, balance, a.atMost, a.answers, a.false402)
}

// setInTouch records that the machines are in touch from contact after now on.
func (a *account) setInTouch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inTouch = time.Now().Add(contact)
}

// killed has all router processes killed at once while a tenant uses its balance. The store, the links and the runners are sound all
// the time, and the processes come back at once.
func killed(dir string, trouble bool) int {
	s, storeAddr := newStore()
	s.put("op", "config", config(1, balance))
	for n := range 3 {
		newRunner(s, fmt.Sprintf("i-llm%d", n+1), "llm", fmt.Sprintf("z%d", n+1), stream)
	}
	routers := newRouters(dir, storeAddr, 3)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	a := &account{answers: map[int]int{}}
	a.setInTouch()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a.use(stop, routers, w)
		}()
	}
	time.Sleep(killAfter)
	a.tell("before")
	if trouble {
		note("all router processes are killed")
		for _, r := range routers {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range routers {
			<-r.exited
		}
		time.Sleep(downFor)
		for _, r := range routers {
			r.start()
		}
		for _, r := range routers {
			r.waitReady()
		}
		a.setInTouch()
		a.tell("all are back")
	}
	a.awaitEnd()
	close(stop)
	wg.Wait()
	a.tell("at the end")
	allowed := 5 + a.sent/500
	note("%d answers 402 to requests that fit into 97 in 100 of the balance, of %d requests; %d are allowed", a.false402, a.sent, allowed)
	if a.false402 > allowed {
		return broken
	}
	return held
}

// use sends requests one after the other, each on a new channel to a random router.
func (a *account) use(stop chan struct{}, routers []*router, client int) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		owed, began := a.begin(), time.Now()
		id, r := fmt.Sprintf("k%d-%d", client, k), routers[rand.IntN(len(routers))]
		log("client sends %s to %s", id, r.name)
		status, events := ask(r.frontend, id)
		log("client gets %d and %d events for %s", status, events, id)
		a.end(began, owed, status, events)
		if status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// awaitEnd returns once nothing was delivered for 6 s.
func (a *account) awaitEnd() {
	last, quiet := 0, 0
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end) && quiet < 6; {
		time.Sleep(time.Second)
		a.mu.Lock()
		delivered := a.delivered
		a.mu.Unlock()
		quiet++
		if delivered != last {
			quiet = 0
		}
		last = delivered
	}
}
