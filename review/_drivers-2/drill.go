package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

const (
	prepaid      = 60_000
	promptTokens = 100
	events       = 10 // of each stream, one token each
	workspaceKey = "key-of-w"
)

// config returns the operator's configuration with one metered tenant.
func config(version int) []byte {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "ask", "hostname": "h", "path_prefix": "/ask/", "route_kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 600, "gap_aim_ms": 300, "backend": "e", "max_attempts": 2, "session_affinity": true, "priority": 0,
		}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{workspaceKey}, "prepaid": prepaid}},
		"backends": []map[string]any{{"name": "e", "max_connections": 620, "engine": map[string]any{"capacity": 128, "kv_tokens": 274885, "stride": 1}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// tally counts what the tenant has consumed.
type tally struct{ consumed, served, refused atomic.Int64 }

// load sends requests of the tenant to the machines until the time is over or stop returns true.
func (in *installation) load(t *tally, d time.Duration, clients int, stop func() bool, machines ...*machine) {
	end := time.Now().Add(d)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for k := n; time.Now().Before(end) && (stop == nil || !stop()); k++ {
				a := in.send(c, machines[k%len(machines)], request{path: "/ask/x", key: workspaceKey, in: promptTokens, out: events, deadline: 3 * time.Second})
				if a.status == http.StatusOK && a.events > 0 {
					t.consumed.Add(int64(promptTokens + a.events))
					t.served.Add(1)
					continue
				}
				t.refused.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// drillAfterRestart restarts one machine and removes another one, both as planned, and then has the store
// come back from a copy of before that.
func drillAfterRestart(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, 3)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", config(7))
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
	var t tally
	restarted, removed, stays := in.machines[0], in.machines[1], in.machines[2]

	rec.sayf("a few requests at %s, which draws tokens", restarted.name)
	in.load(&t, time.Second, 1, func() bool { return t.served.Load() >= 5 }, restarted)
	time.Sleep(time.Second)
	snapshot, copiedAt := in.store.Snapshot(), time.Now()
	rec.sayf("the store is copied; the tenant has consumed %d of %d", t.consumed.Load(), prepaid)

	rec.sayf("planned restart of %s", restarted.name)
	restarted.signal(syscall.SIGTERM)
	if !restarted.awaitExit(9 * time.Second) {
		restarted.signal(syscall.SIGKILL)
		restarted.awaitExit(time.Second)
	}
	if err := restarted.start(); err != nil {
		return false, err
	}
	if err := awaitReady(5*time.Second, restarted); err != nil {
		return false, err
	}

	rec.sayf("the tenant uses its tokens at %s", removed.name)
	refusedBefore := t.refused.Load()
	in.load(&t, 12*time.Second, 12, func() bool { return t.refused.Load() > refusedBefore+30 }, removed)
	rec.sayf("the tenant has consumed %d of %d; %d refused", t.consumed.Load(), prepaid, t.refused.Load())

	rec.sayf("%s is removed as planned", removed.name)
	removed.signal(syscall.SIGTERM)
	if !removed.awaitExit(9 * time.Second) {
		removed.signal(syscall.SIGKILL)
		removed.awaitExit(time.Second)
	}
	if trouble {
		in.store.SetFault(standin.Unavailable)
		time.Sleep(800 * time.Millisecond)
		in.store.RollBack(snapshot)
		in.store.SetFault(standin.NoFault)
		rec.sayf("the store was away for a moment and is back from the copy, which is %.1f s old", time.Since(copiedAt).Seconds())
		in.writeAgain(config(7))
	}
	in.load(&t, 25*time.Second, 6, nil, restarted, stays)
	rec.sayf("the tenant has consumed %d of %d in %d requests; %d refused", t.consumed.Load(), prepaid, t.served.Load(), t.refused.Load())
	return t.consumed.Load() > prepaid, nil
}
