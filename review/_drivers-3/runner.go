package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a runner ran.
type run struct {
	id, runner, path string
	began, ended     time.Time
	whole            bool // the runner wrote its whole answer
}

// runner is a stand-in for a target.
type runner struct {
	id, service, zone, addr string
	handle                  func(w http.ResponseWriter, r *http.Request) (whole bool)

	mu   sync.Mutex
	runs []run
}

// newRunner starts a runner and writes its entry to the store.
func newRunner(s *store, id, service, zone string, handle func(w http.ResponseWriter, r *http.Request) bool) *runner {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	r := &runner{id: id, service: service, zone: zone, addr: l.Addr().String(), handle: handle}
	go func() { _ = (&http.Server{Handler: r}).Serve(l) }()
	born := time.Now().UnixMilli()
	beat := func(seq int) {
		s.put("servers", id, map[string]any{
			"backend": service, "address": r.addr, "zone": zone, "version": "v1", "capacity": map[string]int{"llm": 64, "app": 6}[service], "lifecycle": "ready",
			"cold_remaining_ms": 0, "stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			"call_seq": seq, "born": born,
		})
	}
	beat(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			beat(seq)
		}
	}()
	return r
}

func (r *runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Rosevalve-Instance-Id", r.id)
	switch in.URL.Path {
	case "/healthz":
		return
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":1,"waiting":0,"running":0,"kv_used":0,"kv_total":763122,"handles":0,"lifecycle":"ready"}`)
		return
	}
	id := in.Header.Get("Rosevalve-Attempt-Id")
	w.Header().Set("Rosevalve-Attempt-Id", id)
	if in.Header.Get("Rosevalve-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Rosevalve-Server-Seal", r.id+"."+id)
	began := time.Now()
	log("%s runs %s", r.id, id)
	whole := r.handle(w, in)
	log("%s ends %s; whole answer written: %v", r.id, id, whole)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id: id, runner: r.id, path: in.URL.Path, began: began, ended: time.Now(), whole: whole})
}

// runsOf returns the runs of a request.
func (r *runner) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, is := range r.runs {
		if is.id == id {
			out = append(out, is)
		}
	}
	return out
}
