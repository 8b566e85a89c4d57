//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rosevalve/platform/standin"
)

// usage counts what the tenant has consumed, as the protocol says: the input of each request of which the client got an
// event, once, and the output tokens that were delivered.
type usage struct {
	tokens           atomic.Int64
	served, asked    atomic.Int64
	refused, noFunds atomic.Int64
}

func (u *usage) add(a answer, tokensIn int) {
	u.asked.Add(1)
	switch {
	case a.events > 0:
		u.tokens.Add(int64(tokensIn + a.events))
	case a.status == http.StatusServiceUnavailable:
		u.refused.Add(1)
	case a.status == http.StatusPaymentRequired:
		u.noFunds.Add(1)
	}
	if a.status == http.StatusOK && a.whole {
		u.served.Add(1)
	}
}

// load sends requests of a tenant to a router from some clients, one after the other with a pause, until stop is closed.
func (r *router) load(tenant string, clients, tokensIn int, pause time.Duration, stop chan struct{}, all *sync.WaitGroup, u *usage) {
	for range clients {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				u.add(r.ask(tenant, tokensIn, 5), tokensIn)
			}
		})
	}
}

// runLoad sends requests of a tenant to the routers for a time and returns what came of them.
func runLoad(tenant string, routers []*router, clients, tokensIn int, pause, length time.Duration) *usage {
	var all sync.WaitGroup
	u := &usage{}
	stop := make(chan struct{})
	for _, r := range routers {
		r.load(tenant, clients, tokensIn, pause, stop, &all, u)
	}
	time.Sleep(length)
	close(stop)
	all.Wait()
	return u
}

func (u *usage) String() string {
	return fmt.Sprintf("%d requests: %d served, %d refused with 503, %d with 402; %d tokens consumed",
		u.asked.Load(), u.served.Load(), u.refused.Load(), u.noFunds.Load(), u.tokens.Load())
}

// startFleet starts runners and routers, which may be on two sides of a partition to come, and waits until they are ready.
func (w *world) startFleet(names []string, sides []int, prepaid int64) error {
	w.writeConfig(1, prepaid)
	for _, id := range []string{"i-1", "i-2"} {
		if err := w.addEngine(id, 5); err != nil {
			return err
		}
	}
	for n, name := range names {
		side := -1
		if sides != nil {
			side = sides[n]
		}
		if _, err := w.addRouter(name, side); err != nil {
			return err
		}
	}
	return w.startRouters()
}

func (w *world) startRouters() error {
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range w.routers {
		if err := r.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// playPartitionDrill checks BUDGET: two of six routers are cut off from the others for a long while. The clients of tenant w
// begin to ask these two. The store goes away for a moment, comes back from a copy some seconds old, and turns the two away
// for a little longer, while the clients of tenant w ask the others too.
func playPartitionDrill(w *world) (bool, error) {
	const (
		prepaid  = 1_200_000
		tokensIn = 5_000
	)
	if err := w.startFleet([]string{"a", "b", "c", "d", "e", "f"}, []int{0, 0, 0, 0, 1, 1}, prepaid); err != nil {
		return false, err
	}
	others, cutOff := w.routers[:4], w.routers[4:]
	w.note("tenant v: %v", runLoad("v", w.routers, 1, 100, 200*time.Millisecond, 3*time.Second))
	if w.trouble {
		w.partitioned.Store(true)
		w.note("the routers e and f are cut off from the others")
	}
	w.note("tenant v: %v", runLoad("v", w.routers, 1, 100, 500*time.Millisecond, 45*time.Second))
	copied := w.store.Snapshot()
	w.note("a copy of the store is made")
	used := []*usage{runLoad("w", cutOff, 1, tokensIn, 100*time.Millisecond, 2*time.Second)}
	w.noteTokens()
	if w.trouble {
		w.store.SetFault(standin.Unavailable)
		w.note("the store is away")
		time.Sleep(time.Second)
		w.turnAway(cutOff, true)
		w.restoreStore(copied)
		w.store.SetFault(standin.NoFault)
		time.AfterFunc(3*time.Second, func() { w.turnAway(cutOff, false) })
	}
	used = append(used, runLoad("w", others, 1, tokensIn, 100*time.Millisecond, 5*time.Second))
	used = append(used, runLoad("w", w.routers, 2, tokensIn, 100*time.Millisecond, 30*time.Second))
	w.noteTokens()
	var tokens int64
	for _, u := range used {
		w.note("tenant w: %v", u)
		tokens += u.tokens.Load()
	}
	w.note("tenant w has consumed %d tokens of %d prepaid ones", tokens, prepaid)
	return tokens > prepaid, nil
}

// turnAway makes the store answer the routers with 503, or serve them again.
func (w *world) turnAway(routers []*router, refused bool) {
	for _, r := range routers {
		r.refused.Store(refused)
		w.note("the store turns router %s away: %v", r.name, refused)
	}
}

// The bounds of RECOVER.
const (
	recoverTime = 12 * time.Second
	minShare    = 0.25
)

// finalFault kills all processes right after a configuration was acknowledged, and starts them again.
func (w *world) finalFault(version int, prepaid int64, meanwhile func()) error {
	w.writeConfig(version, prepaid)
	for _, r := range w.routers {
		r.kill()
	}
	w.note("all processes are killed")
	meanwhile()
	time.Sleep(time.Second)
	return w.startRouters()
}

// judgeRecovery compares the shares of requests that were served before and after the final fault.
func (w *world) judgeRecovery(before *usage) bool {
	time.Sleep(recoverTime)
	after := runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 15*time.Second)
	w.note("before: %v", before)
	w.note("later than %v after the final fault: %v", recoverTime, after)
	return before.share() >= minShare && after.share() < minShare
}

func (u *usage) share() float64 {
	return float64(u.served.Load()) / float64(max(1, u.asked.Load()))
}

// playKillDrill checks RECOVER: the store is in a drill when all processes are killed.
func playKillDrill(w *world) (bool, error) {
	const prepaid = 100_000_000
	if err := w.startFleet([]string{"a", "b", "c"}, nil, prepaid); err != nil {
		return false, err
	}
	runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 7*time.Second)
	copied := w.store.Snapshot()
	w.note("a copy of the store is made")
	before := runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 3*time.Second)
	err := w.finalFault(2, prepaid, func() {
		if w.trouble {
			w.store.SetFault(standin.Unavailable)
			w.note("the store is away")
			time.Sleep(time.Second)
			w.restoreStore(copied)
			w.store.SetFault(standin.NoFault)
		}
	})
	if err != nil {
		return false, err
	}
	return w.judgeRecovery(before), nil
}

// playRemovalDrill checks RECOVER: a machine is taken away as planned; some seconds later the store has a drill; much
// later all processes are killed.
func playRemovalDrill(w *world) (bool, error) {
	const prepaid = 100_000_000
	if err := w.startFleet([]string{"a", "b", "c", "x"}, nil, prepaid); err != nil {
		return false, err
	}
	runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 6*time.Second)
	x := w.routers[3]
	w.routers = w.routers[:3]
	if err := x.terminate(); err != nil {
		return false, err
	}
	runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 5*time.Second)
	copied := w.store.Snapshot()
	w.note("a copy of the store is made")
	runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 2*time.Second)
	if w.trouble {
		w.store.SetFault(standin.Unavailable)
		w.note("the store is away")
		time.Sleep(time.Second)
		w.restoreStore(copied)
		w.store.SetFault(standin.NoFault)
	}
	before := runLoad("w", w.routers, 2, 100, 100*time.Millisecond, 30*time.Second)
	if err := w.finalFault(2, prepaid, func() {}); err != nil {
		return false, err
	}
	return w.judgeRecovery(before), nil
}

// noteTokens records the routers' own counts of their tokens.
func (w *world) noteTokens() {
	for _, r := range w.routers {
		r.noteTokens()
	}
}

// playLostMachine checks DENIED: a machine is lost for good, and another is added with the same role.
func playLostMachine(w *world) (bool, error) {
	const (
		prepaid  = 1_200_000
		tokensIn = 2_000
	)
	if err := w.startFleet([]string{"a", "b", "c"}, nil, prepaid); err != nil {
		return false, err
	}
	l := &ledger{prepaid: prepaid, bound: prepaid * 97 / 100}
	c := w.routers[2]
	l.run([]*router{c}, 2, tokensIn, 250*time.Millisecond, 6*time.Second)
	l.run(w.routers, 1, tokensIn, 250*time.Millisecond, 6*time.Second)
	w.noteTokens()
	if w.trouble {
		w.routers = w.routers[:2]
		c.kill()
		w.note("machine c is lost for good")
		time.Sleep(time.Second)
		d, err := w.addRouter("d", -1)
		if err != nil {
			return false, err
		}
		if err := errors.Join(d.start(), d.waitReady()); err != nil {
			return false, err
		}
	}
	// From now on all machines are in touch: they have run for longer than contact_ms.
	time.Sleep(3500 * time.Millisecond)
	l.run(w.routers, 3, tokensIn, 100*time.Millisecond, 60*time.Second)
	w.noteTokens()
	allowed := 5 + l.asked/500
	w.note("%d requests: %d served, %d refused with 503, %d with 402, of which %d fit into 97%% of the prepaid tokens (%d are allowed); at most %d of %d tokens consumed",
		l.asked, l.served, l.refused, l.noFunds, l.denied, allowed, l.most, prepaid)
	return l.denied > allowed, nil
}

// ledger counts requests of one tenant. Tokens are counted at their most: those of a request count from its sending on,
// unless it was answered that it has not run.
type ledger struct {
	prepaid, bound int64

	mu                              sync.Mutex // guards the fields below
	most                            int64
	asked, served, refused, noFunds int64
	denied                          int64 // answered 402 though they fitted
}

// run sends requests to the routers for a time.
func (l *ledger) run(routers []*router, clients, tokensIn int, pause, length time.Duration) {
	const tokensOut = 5
	n := int64(tokensIn + tokensOut)
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for _, r := range routers {
		for range clients {
			all.Go(func() {
				for time.Now().Before(end) {
					l.send(n)
					l.judge(n, r.ask("w", tokensIn, tokensOut))
					time.Sleep(pause)
				}
			})
		}
	}
	all.Wait()
}

// send counts a request of n tokens that is being sent.
func (l *ledger) send(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	l.most += n
}

// judge counts the answer to a request of n tokens.
func (l *ledger) judge(n int64, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch a.status {
	case http.StatusPaymentRequired:
		l.noFunds++
		if l.most <= l.bound {
			l.denied++
		}
		l.most -= n
	case http.StatusServiceUnavailable:
		l.refused++
		l.most -= n
	case http.StatusOK:
		l.served++
	}
}
