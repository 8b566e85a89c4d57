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
	drainTime  = 2 * time.Second // drain_ms of the sheet
	leftKey    = "i-1"           // the runner that leaves
	staysKey   = "i-2"
	desk       = "desk"
	sendPeriod = 50 * time.Millisecond
)

// deskConfig returns the operator's configuration with one route that may not be repeated.
func deskConfig() []byte {
	b, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "hold", "hostname": "h", "path_prefix": "/hold/", "route_kind": "non_idempotent", "timeout_ms": 800,
			"target_latency_ms": 100, "backend": desk, "max_attempts": 1, "priority": 2,
		}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{workspaceKey}, "prepaid": prepaid}},
		"backends": []map[string]any{{"name": desk, "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// incompleteEntry returns the entry of a runner as another writer might leave it: without the fields version,
// cold_remaining_ms, call_seq and born.
func incompleteEntry(r *standin.Runner) []byte {
	var fields map[string]any
	if err := json.Unmarshal(r.Entry("ready"), &fields); err != nil {
		panic(err)
	}
	for _, name := range []string{"version", "cold_remaining_ms", "call_seq", "born"} {
		delete(fields, name)
	}
	b, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return b
}

// entryOfAnother has another writer leave an incomplete entry under the id of a runner that is gone but still serves.
func entryOfAnother(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, 3)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", deskConfig())
	var gone, atGone, failed, served atomic.Int64 // gone: when requests must no longer reach the runner, in Unix nanoseconds
	var left *standin.Runner
	for _, id := range []string{leftKey, staysKey} {
		r, err := in.addRunner(id, desk, func(got standin.Received) standin.Reply {
			if end := gone.Load(); id == leftKey && end != 0 && time.Now().UnixNano() > end {
				atGone.Add(1)
				rec.printf("reached  %s at %s, which left %.1f s before", got.Attempt, id, time.Since(time.Unix(0, end)).Seconds()+drainTime.Seconds())
			}
			return standin.Reply{Body: "held", Delay: 15 * time.Millisecond}
		})
		if err != nil {
			return false, err
		}
		if id == leftKey {
			left = r
		}
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var stop atomic.Bool
	var all sync.WaitGroup
	for _, m := range in.machines {
		all.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for !stop.Load() {
				a := in.send(c, m, request{path: "/hold/x", key: workspaceKey, deadline: 1500 * time.Millisecond})
				if a.status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(sendPeriod)
			}
		})
	}
	time.Sleep(3 * time.Second)
	rec.sayf("the entry of %s is removed; it serves on for some seconds", leftKey)
	left.Leave()
	in.store.Remove("servers", leftKey)
	gone.Store(time.Now().Add(drainTime).UnixNano())
	time.Sleep(drainTime + 3*time.Second)
	if trouble {
		rec.sayf("another writer leaves an entry under its id, without version, cold_remaining_ms, call_seq and born")
		in.store.Put("servers", leftKey, incompleteEntry(left))
	}
	time.Sleep(4 * time.Second)
	stop.Store(true)
	all.Wait()
	rec.sayf("%d requests reached %s later than drain_ms after the store had confirmed that it is gone; %d served, %d failed", atGone.Load(), leftKey, served.Load(), failed.Load())
	return atGone.Load() > 0, nil
}
