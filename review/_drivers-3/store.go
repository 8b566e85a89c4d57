package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store in its JSON encoding.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) at() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store. It keeps rows in memory.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]row
	history []row
	version uint64
	era     uint64
	changed chan struct{}
}

// newStore starts a store on a loopback address and returns it with the address.
func newStore() (*store, string) {
	s := &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s) }()
	return s, l.Addr().String()
}

// put writes a row of the operator or of a runner.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// remove deletes a row of a runner.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) apply(writes, removals []row) {
	s.version++
	for _, r := range writes {
		r.Ver = s.version
		s.rows[r.at()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removals {
		r.Ver, r.Value, r.Deleted = s.version, nil, true
		delete(s.rows, r.at())
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call of the store's protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/v1/rows-get":
		s.read(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, want := range in.Expected {
		is, ok := s.rows[want.at()]
		if ok {
			current = append(current, is)
		}
		holds = holds && is.Ver == want.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.apply(in.Writes, in.Remove)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, is := range s.rows {
		inRange := is.Key >= q.Get("from") && (q.Get("to") == "" || is.Key < q.Get("to"))
		if is.Table == q.Get("table") && is.Part == q.Get("part") && inRange {
			out = append(out, is)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(out) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": out[:min(limit, len(out))], "more_pages": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since > s.version {
			s.stamp(w)
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		out := []row{}
		for _, is := range s.history {
			if is.Table == q.Get("table") && is.Ver > since {
				out = append(out, is)
			}
		}
		changed := s.changed
		if len(out) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) stamp(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.version, time.Since(s.started).Milliseconds()+1
	text, err := json.Marshal(body)
	check(err)
	s.stamp(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
