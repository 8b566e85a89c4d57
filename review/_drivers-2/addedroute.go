package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rosevalve/platform/standin"
)

const (
	longPrompt = 400 // tokens
	fewEvents  = 5
)

// addRoute returns a later version of a configuration, with one more route to the same engines, whose answers are no streams.
func addRoute(cfg []byte, version int) []byte {
	var fields map[string]any
	if err := json.Unmarshal(cfg, &fields); err != nil {
		panic(err)
	}
	routes, _ := fields["routes"].([]any)
	fields["version"] = version
	fields["routes"] = append(routes, map[string]any{
		"name": "sum", "hostname": "h", "path_prefix": "/sum/", "route_kind": "idempotent", "timeout_ms": 8000,
		"target_latency_ms": 1000, "backend": "e", "max_attempts": 2, "session_affinity": true, "priority": 1,
	})
	b, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return b
}

// routeAdded has the operator add a route of another kind to the engines, and the tenant use it.
func routeAdded(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, 3)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", config(7))
	for _, id := range []string{"i-1", "i-2"} {
		_, err := in.addRunner(id, "e", func(got standin.Received) standin.Reply {
			if got.Path == "/sum/x" {
				return standin.Reply{Body: "the sum for " + got.Attempt, Delay: 10 * time.Millisecond}
			}
			return standin.Reply{Events: fewEvents, Delay: 5 * time.Millisecond, EventInterval: time.Millisecond}
		})
		if err != nil {
			return false, err
		}
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	path := "/ask/x"
	if trouble {
		rec.sayf("the operator adds a route to the engines whose answers are no streams")
		in.store.Put("op", "config", addRoute(config(7), 9))
		time.Sleep(3 * time.Second)
		path = "/sum/x"
	}
	var consumed, served, refused atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for n := range 6 {
		all.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for time.Now().Before(end) && served.Load() < 2*prepaid/longPrompt {
				a := in.send(c, in.machines[n%3], request{path: path, key: workspaceKey, in: longPrompt, out: 2 * fewEvents, deadline: 3 * time.Second})
				if a.status == http.StatusOK && a.complete {
					consumed.Add(int64(longPrompt + a.events))
					served.Add(1)
					continue
				}
				refused.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
	rec.sayf("the tenant has consumed at least %d of %d in %d requests; %d refused", consumed.Load(), prepaid, served.Load(), refused.Load())
	return consumed.Load() > prepaid, nil
}
