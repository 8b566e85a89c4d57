package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stream-fuzz"] = streamFuzz }

type streamRunner struct {
	rawRunner
}

func (r *streamRunner) serve() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.conn(c.(*net.TCPConn))
	}
}

func (r *streamRunner) conn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Rosevalve-Attempt-Id")
		if req.URL.Path == "/v1/report" {
			text := `{"stage":"colocated","models":[],"busy":false,"call_seq":1,"waiting":0,"running":1,"kv_used":0,"kv_total":250000,"handles":0}`
			if _, err := io.WriteString(c, frame(0, 200, "Content-Type: application/json\r\nKeep-Alive: timeout=10\r\n", text)); err != nil {
				return
			}
			continue
		}
		if req.Header.Get("Rosevalve-Expect-Instance") != r.id {
			_, _ = io.WriteString(c, frame(0, 421, "Rosevalve-Attempt-Id: "+id+"\r\n", ""))
			continue
		}
		if !r.stream(c, req, id) {
			return
		}
	}
}

func (r *streamRunner) stream(c *net.TCPConn, req *http.Request, id string) bool {
	n, _ := strconv.Atoi(req.URL.Query().Get("n"))
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	nonce := fmt.Sprintf("%s-%d", r.id, rand.IntN(1e9))
	kind := 0
	if r.trouble && rand.IntN(2) > 0 {
		kind = rand.IntN(14)
		if os.Getenv("KINDS") == "silent" {
			kind = 8
		}
	}
	run := &fuzzRun{id: id, runner: r.id, ran: true, seal: nonce}
	fields := "Rosevalve-Attempt-Id: " + id + "\r\n"
	if kind == 1 {
		run.ran = false
		r.log.add(run)
		_, err := io.WriteString(c, frame(0, 503, fields+"Rosevalve-Not-Executed: 1\r\n", ""))
		return err == nil
	}
	r.log.add(run)
	fields += "Rosevalve-Server-Seal: " + nonce + "\r\n"
	if kind == 2 {
		_, err := io.WriteString(c, frame(rand.IntN(2), []int{500, 502, 504}[rand.IntN(3)], fields, "failed"))
		return err == nil
	}
	from := last + 1
	if kind == 3 && last > 0 {
		from = 1
	}
	var events []string
	for k := from; k <= n; k++ {
		extra := ""
		if rand.IntN(6) == 0 {
			extra = ": comment\n\n"
		}
		events = append(events, fmt.Sprintf("%sid: %d\ndata: %s/%d %s\n\n", extra, k, nonce, k, strings.Repeat("x", rand.IntN(200))))
	}
	fields += "Content-Type: text/event-stream\r\n"
	mode := rand.IntN(3)
	body := strings.Join(events, "")
	if kind == 4 {
		body = `{"error":"internal"}`
	}
	text := frame(mode, 200, fields, body)
	cut := -1
	silent := time.Duration(0)
	switch kind {
	case 5, 6, 7:
		cut = rand.IntN(len(text))
		if mode == 2 {
			// In the middle of an event, or with a reset.
			kind = 7
		}
	case 8, 9, 10:
		silent = time.Duration(200+rand.IntN(1800)) * time.Millisecond
	case 11:
		text += text
	}
	if cut >= 0 {
		_ = slowPieces(c, text[:cut], 0)
		if kind == 7 {
			time.Sleep(5 * time.Millisecond)
			rst(c)
		}
		return false
	}
	if slowPieces(c, text, silent) != nil || mode == 2 || kind == 4 {
		return false
	}
	return true
}

// slowPieces writes text over some tens of milliseconds.
func slowPieces(c net.Conn, text string, silent time.Duration) error {
	at := -1
	if silent > 0 {
		at = rand.IntN(len(text) + 1)
	}
	for i := 0; i < len(text); {
		n := min(1+rand.IntN(300), len(text)-i)
		if at >= i && at < i+n {
			time.Sleep(silent)
			at = -1
		}
		if _, err := io.WriteString(c, text[i:i+n]); err != nil {
			return err
		}
		i += n
		if rand.IntN(3) == 0 {
			time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
		}
	}
	return nil
}

func streamFuzz(dir string, trouble bool) int {
	s, storeAddr := newStore()
	route := func(name string, resume bool) map[string]any {
		return map[string]any{"name": name, "hostname": "h.example", "path_prefix": "/" + name + "/", "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 600, "priority": 1, "backend": "llm", "max_attempts": 3, "session_affinity": true, "stream_resume": resume, "gap_aim_ms": 150}
	}
	s.put("op", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("ask", false), route("long", true)},
		"backends": []map[string]any{{"name": "llm", "health_path": "/healthz", "max_connections": 500, "protocol": "h1", "engine": map[string]any{"capacity": 96, "kv_tokens": 253891, "stride": 1}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}}},
	})
	log := &fuzzLog{runs: map[string][]*fuzzRun{}}
	for n := range 5 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		check(err)
		r := &streamRunner{rawRunner{id: fmt.Sprintf("i-%d", n), service: "llm", l: l, log: log, trouble: trouble}}
		go r.serve()
		s.put("servers", r.id, map[string]any{"backend": "llm", "address": l.Addr().String(), "zone": "z1", "version": "v1", "capacity": 96, "lifecycle": "ready", "cold_remaining_ms": 0, "call_seq": 1, "born": time.Now().UnixMilli()})
	}
	routers := newRouters(dir, storeAddr, 2)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 30
	}
	stop := time.Now().Add(time.Duration(secs) * time.Second)
	var mu sync.Mutex
	bad := 0
	count := map[string]int{}
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		bad++
		note(format, args...)
	}
	type outcome struct {
		id     string
		status int
	}
	var once []outcome
	var wg sync.WaitGroup
	for w := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(stop); k++ {
				id := fmt.Sprintf("s%d-%d", w, k)
				path := []string{"ask", "long"}[rand.IntN(2)]
				n := 1 + rand.IntN(30)
				c, err := net.Dial("tcp4", routers[rand.IntN(2)].frontend)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(9 * time.Second))
				fmt.Fprintf(c, "POST /%s/1?n=%d HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Model: m\r\nRosevalve-Token-Count: 200,%d\r\nRosevalve-Prefix-Hash: aa:100,%x:100\r\nRosevalve-Deadline-Ms: 6000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n", path, n, id, n, rand.Uint32())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				status := 0
				var body []byte
				if err == nil {
					status = resp.StatusCode
					body, err = io.ReadAll(resp.Body)
				}
				_ = c.Close()
				mu.Lock()
				count[fmt.Sprintf("%s %d complete=%v", path, status, err == nil)]++
				if path == "ask" {
					once = append(once, outcome{id, status})
				}
				mu.Unlock()
				if status != 200 || err != nil && status == 0 {
					continue
				}
				if resp.Header.Get("Rosevalve-Attempt-Id") != id || resp.Header.Get("Rosevalve-Server-Seal") == "" {
					report("MIXED: %s has the head %v", id, resp.Header)
				}
				next, nonces := 1, map[string]bool{}
				for _, ev := range strings.Split(string(body), "\n\n") {
					if !strings.HasPrefix(ev, "id: ") {
						continue
					}
					var num int
					var rest string
					if _, e := fmt.Sscanf(ev, "id: %d\ndata: %s", &num, &rest); e != nil {
						continue
					}
					nonce, _, _ := strings.Cut(rest, "/")
					nonces[nonce] = true
					if num != next {
						report("ORDER: %s (%s) has event %d where %d is due", id, path, num, next)
						break
					}
					next++
				}
				if path == "ask" && len(nonces) > 1 {
					report("ORDER: %s joins %v", id, nonces)
				}
				if err == nil && next != n+1 && !strings.Contains(string(body), "error") {
					report("ORDER: %s (%s) ends as complete after %d of %d events: %.200q", id, path, next-1, n, string(body))
				}
				if err == nil && strings.Contains(string(body), "error") && next > 1 {
					report("MIXED: %s (%s) has an error within its stream: %.200q", id, path, string(body))
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, o := range once {
		ran := 0
		for _, r := range log.runs[o.id] {
			if r.ran {
				ran++
			}
		}
		if ran > 1 {
			report("TWICE: %s ran %d times", o.id, ran)
		}
		if ran > 0 && (o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421) {
			report("REFUSED: %s ran and got %d", o.id, o.status)
		}
	}
	note("%v, %d breaks", count, bad)
	if bad > 0 {
		return broken
	}
	return held
}
