package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

const (
	fleetSize   = 7 // machines of the site
	lostSize    = 5
	creditShare = 97 // of prepaid, in percent, into which a request must fit
	allowedBase = 5  // false refusals that DENIED allows, besides one in allowedOne
	allowedOne  = 500
)

// lossOfMost has most of the machines lost for good at once.
func lossOfMost(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, fleetSize)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", withBalance(7))
	for _, id := range []string{"i-1", "i-2"} {
		_, err := in.addRunner(id, "e", func(standin.Received) standin.Reply {
			return standin.Reply{Events: events, Delay: 5 * time.Millisecond, EventInterval: time.Millisecond}
		})
		if err != nil {
			return false, err
		}
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	lost, stay := in.machines[:lostSize], in.machines[lostSize:]
	var asked, served, unavailable, noFunds, denied atomic.Int64
	var most atomic.Int64 // tokens that the tenant can have consumed, each request at its most unless it was refused
	run := func(d time.Duration, machines []*machine) {
		var all sync.WaitGroup
		for end, n := time.Now().Add(d), 0; n < 4; n++ {
			all.Go(func() {
				c := newClient()
				defer c.CloseIdleConnections()
				for k := n; time.Now().Before(end); k++ {
					largest := int64(promptTokens + events)
					fits := most.Add(largest)*100 <= balance*creditShare
					a := in.send(c, machines[k%len(machines)], request{path: "/ask/x", key: workspaceKey, in: promptTokens, out: events, deadline: 3 * time.Second})
					asked.Add(1)
					switch a.status {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable, http.StatusPaymentRequired:
						most.Add(-largest)
						if a.status == http.StatusServiceUnavailable {
							unavailable.Add(1)
						} else if noFunds.Add(1); fits {
							denied.Add(1)
						}
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
		all.Wait()
	}
	run(8*time.Second, lost)
	rec.sayf("%d requests served, at most %d of %d tokens consumed", served.Load(), most.Load(), balance)
	if trouble {
		rec.sayf("%d of %d machines are lost for good", lostSize, fleetSize)
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(4 * time.Second)
	}
	run(55*time.Second, stay)
	allowed := allowedBase + asked.Load()/allowedOne
	rec.sayf("%d requests: %d served, %d refused with 503, %d with 402, of which %d fit into %d%% of the prepaid tokens (%d are allowed); at most %d of %d tokens consumed",
		asked.Load(), served.Load(), unavailable.Load(), noFunds.Load(), denied.Load(), creditShare, allowed, most.Load(), balance)
	return denied.Load() > allowed, nil
}
