package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["http-fuzz"] = httpFuzz }

type fuzzRun struct {
	id, runner string
	ran        bool
	bad        string
	status     int
	complete   bool
	body       string
	seal       string
}

type fuzzLog struct {
	mu   sync.Mutex
	runs map[string][]*fuzzRun
}

func (l *fuzzLog) add(r *fuzzRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func bodyOf(id string, n int) string {
	sum := sha256.Sum256([]byte(id))
	h := hex.EncodeToString(sum[:])
	return strings.Repeat(h, n/len(h)+1)[:n]
}

type rawRunner struct {
	id, service string
	l           net.Listener
	log         *fuzzLog
	trouble     bool
}

func (r *rawRunner) serve() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.conn(c.(*net.TCPConn))
	}
}

func rst(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// pieces writes text in random pieces, with a silence at one place.
func pieces(c net.Conn, text string, silent time.Duration) error {
	at := -1
	if silent > 0 {
		at = rand.IntN(len(text) + 1)
	}
	for i := 0; i < len(text); {
		n := 1 + rand.IntN(max(1, min(len(text)-i, 1<<rand.IntN(16))))
		n = min(n, len(text)-i)
		if at >= i && at < i+n {
			time.Sleep(silent)
			at = -1
		}
		if _, err := io.WriteString(c, text[i:i+n]); err != nil {
			return err
		}
		i += n
		if rand.IntN(4) == 0 {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
	}
	return nil
}

func frame(mode int, status int, fields, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, fields)
	switch mode {
	case 0:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case 1:
		var b strings.Builder
		b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
		for i := 0; i < len(body); {
			n := min(1+rand.IntN(4000), len(body)-i)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[i:i+n])
			i += n
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	default:
		return head + "\r\n" + body
	}
}

func (r *rawRunner) conn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	pendingExtra := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get("Rosevalve-Attempt-Id")
		if pendingExtra != "" {
			if pieces(c, pendingExtra, 0) != nil {
				return
			}
			pendingExtra = ""
		}
		if req.URL.Path == "/v1/report" {
			_, _ = io.Copy(io.Discard, req.Body)
			text := `{"stage":"colocated","models":[],"busy":false,"call_seq":1,"waiting":0,"running":1,"kv_used":0,"kv_total":250000,"handles":0}`
			if _, err := io.WriteString(c, frame(0, 200, "Content-Type: application/json\r\nKeep-Alive: timeout=10\r\n", text)); err != nil {
				return
			}
			continue
		}
		if req.Header.Get("Rosevalve-Expect-Instance") != r.id {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, frame(0, 421, "Rosevalve-Attempt-Id: "+id+"\r\n", ""))
			continue
		}
		if !r.one(c, req, id, &pendingExtra) {
			return
		}
	}
}

// one handles a request and reports whether the channel stays.
func (r *rawRunner) one(c *net.TCPConn, req *http.Request, id string, pendingExtra *string) bool {
	run := &fuzzRun{id: id, runner: r.id, seal: fmt.Sprintf("%s.%s.%d", r.id, id, rand.IntN(1e9))}
	kind := 0
	if r.trouble && rand.IntN(3) > 0 {
		kind = rand.IntN(16)
	}
	size, _ := strconv.Atoi(req.URL.Query().Get("n"))
	run.body = bodyOf(id, size)
	run.status = 200
	base := "Rosevalve-Attempt-Id: " + id + "\r\n"
	ka := "Keep-Alive: timeout=10\r\n"
	if kind == 5 || kind == 6 {
		// Not run: refused early, before the body was read, or after.
		if kind == 6 {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		extra := ""
		if rand.IntN(3) == 0 {
			extra = "Retry-After: 0.2\r\n"
		}
		run.status = 503
		r.log.add(run)
		_, err := io.WriteString(c, frame(0, 503, base+ka+extra+"Rosevalve-Not-Executed: 1\r\n", ""))
		if kind == 5 {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
		}
		return err == nil
	}
	run.ran = true
	if kind != 7 {
		got, err := io.ReadAll(req.Body)
		if err != nil {
			run.bad = ""
			run.ran = len(got) > 0 || true
			r.log.add(run)
			return false
		}
		sum := sha256.Sum256(got)
		if hex.EncodeToString(sum[:8]) != req.Header.Get("X-Sum") {
			run.bad = fmt.Sprintf("body of %d bytes is not the client's", len(got))
		}
	}
	if want := req.Header.Get("X-Uri"); want != req.Method+" "+req.RequestURI {
		run.bad = "method or path is not the client's"
	}
	if req.Header.Get("Rosevalve-Tenant") != "t1" || req.Header.Get("Api-Key") != "" {
		run.bad = "tenant or key"
	}
	r.log.add(run)
	time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	sealed := base + "Rosevalve-Server-Seal: " + run.seal + "\r\n"
	mode := rand.IntN(3)
	if mode == 2 {
		ka = ""
	}
	text := frame(mode, 200, sealed+ka, run.body)
	silent := time.Duration(0)
	switch kind {
	case 1:
		// Truncated, by a close or a reset.
		cut := rand.IntN(len(text))
		if mode == 2 {
			// A close would look like the end.
			cut = min(cut, strings.Index(text, "\r\n\r\n")+2)
		}
		_ = pieces(c, text[:cut], 0)
		if rand.IntN(2) == 0 || mode == 2 {
			time.Sleep(5 * time.Millisecond)
			rst(c)
		}
		return false
	case 2:
		_ = pieces(c, "HTTP/1.1 2oo what\r\n\x00\x01\r\n\r\n"+text, 0)
		return false
	case 3:
		// A second answer: at once, or where the next answer is expected.
		run.complete = true
		second := text
		if rand.IntN(3) == 0 {
			second = frame(0, []int{200, 500, 503}[rand.IntN(3)], sealed, "second answer")
		}
		if mode == 2 {
			_ = pieces(c, text, 0)
			return false
		}
		if pieces(c, text, 0) != nil {
			return false
		}
		if rand.IntN(2) == 0 {
			return pieces(c, second, 0) == nil
		}
		*pendingExtra = second
		return true
	case 4:
		run.status = []int{500, 502, 504}[rand.IntN(3)]
		run.body = "failed " + id
		run.complete = true
		return pieces(c, frame(0, run.status, sealed+ka, run.body), 0) == nil
	case 7:
		// Answers before it has read the body, keeps the channel and reads on later.
		run.complete = true
		if mode == 2 {
			mode = 0
			text = frame(mode, 200, sealed+ka, run.body)
		}
		if pieces(c, text, 0) != nil {
			return false
		}
		time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
		got, err := io.ReadAll(req.Body)
		sum := sha256.Sum256(got)
		if err == nil && hex.EncodeToString(sum[:8]) != req.Header.Get("X-Sum") {
			run.bad = fmt.Sprintf("rest of the body of %d bytes is not the client's", len(got))
		}
		return err == nil
	case 8, 9:
		silent = time.Duration(200+rand.IntN(1500)) * time.Millisecond
	case 10:
		// The answer is lost.
		if rand.IntN(2) == 0 {
			rst(c)
		}
		return false
	case 11:
		text = frame(mode, 200, sealed+ka+"Connection: close\r\n", run.body)
		run.complete = true
		_ = pieces(c, text, 0)
		return false
	case 12:
		// The channel is dropped without notice after the answer.
		run.complete = true
		_ = pieces(c, text, 0)
		go func() { time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond); rst(c) }()
		time.Sleep(time.Second)
		return false
	case 13:
		text = "HTTP/1.1 100 Continue\r\n\r\n" + text
	}
	run.complete = true
	if pieces(c, text, silent) != nil || mode == 2 {
		return false
	}
	return true
}

func httpFuzz(dir string, trouble bool) int {
	s, storeAddr := newStore()
	cfg := config(1)
	s.put("op", "config", cfg)
	log := &fuzzLog{runs: map[string][]*fuzzRun{}}
	for n := range 4 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		check(err)
		r := &rawRunner{id: fmt.Sprintf("i-%d", n), service: "app", l: l, log: log, trouble: trouble}
		go r.serve()
		s.put("servers", r.id, map[string]any{"backend": "app", "address": l.Addr().String(), "zone": "z1", "version": "v1", "capacity": 64, "lifecycle": "ready", "cold_remaining_ms": 0, "call_seq": 1, "born": time.Now().UnixMilli()})
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
	if os.Getenv("ROLL") != "" {
		go func() {
			for k := 0; time.Now().Before(stop.Add(-10 * time.Second)); k++ {
				r := routers[k%2]
				time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
				r.signal(syscall.SIGTERM)
				<-r.exited
				r.start()
				r.waitReady()
			}
		}()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	bad := 0
	count := map[int]int{}
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		bad++
		note(format, args...)
	}
	type outcome struct {
		id     string
		once   bool
		status int
	}
	var outcomes []outcome
	for w := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c net.Conn
			var br *bufio.Reader
			for k := 0; time.Now().Before(stop); k++ {
				if c == nil || rand.IntN(4) == 0 {
					if c != nil {
						_ = c.Close()
					}
					var err error
					c, err = net.Dial("tcp4", routers[rand.IntN(2)].frontend)
					if err != nil {
						c = nil
						continue
					}
					br = bufio.NewReader(c)
				}
				id := fmt.Sprintf("w%d-%d", w, k)
				once := rand.IntN(2) == 0
				path, method := "/read/", "POST"
				if once {
					path = "/book/"
				}
				n := rand.IntN(1 << (4 + rand.IntN(14)))
				body := bodyOf("q"+id, rand.IntN(1<<(2+rand.IntN(16))))
				sum := sha256.Sum256([]byte(body))
				uri := fmt.Sprintf("%s%s?n=%d&a=%%2F;x", path, id, n)
				head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Deadline-Ms: 6000\r\nApi-Key: key-1\r\nX-Sum: %s\r\nX-Uri: %s %s\r\n", method, uri, id, hex.EncodeToString(sum[:8]), method, uri)
				var text string
				if rand.IntN(2) == 0 {
					text = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
				} else {
					var b strings.Builder
					b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
					for i := 0; i < len(body); {
						m := min(1+rand.IntN(4000), len(body)-i)
						fmt.Fprintf(&b, "%x\r\n%s\r\n", m, body[i:i+m])
						i += m
					}
					b.WriteString("0\r\n\r\n")
					text = b.String()
				}
				_ = c.SetDeadline(time.Now().Add(8 * time.Second))
				if pieces(c, text, 0) != nil {
					_ = c.Close()
					c = nil
					continue
				}
				if rand.IntN(20) == 0 {
					time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
					_ = c.Close()
					c = nil
					mu.Lock()
					outcomes = append(outcomes, outcome{id, once, 0})
					mu.Unlock()
					continue
				}
				lastByte := time.Now()
				resp, err := http.ReadResponse(br, nil)
				var got []byte
				status := 0
				if err == nil {
					got, err = io.ReadAll(resp.Body)
					status = resp.StatusCode
				}
				mu.Lock()
				count[status]++
				outcomes = append(outcomes, outcome{id, once, status})
				mu.Unlock()
				if err != nil {
					log.mu.Lock()
					passed := len(log.runs[id]) > 0
					log.mu.Unlock()
					if passed || time.Since(lastByte) > 200*time.Millisecond {
						report("LOST: no complete answer to %s: status %d, %v after %v, passed on %v", id, status, err, time.Since(lastByte), passed)
					}
					_ = c.Close()
					c = nil
					continue
				}
				if a := resp.Header.Get("Rosevalve-Attempt-Id"); a != id {
					report("MIXED: answer to %s names %q, status %d", id, a, status)
				}
				seal := resp.Header.Get("Rosevalve-Server-Seal")
				if status == 200 || seal != "" {
					ok := false
					log.mu.Lock()
					for _, r := range log.runs[id] {
						if r.ran && r.seal == seal && r.status == status && r.body == string(got) {
							ok = true
						}
					}
					log.mu.Unlock()
					if !ok {
						report("MIXED: %s got status %d, seal %q and %d bytes (asked %d)", id, status, seal, len(got), n)
					}
				}
				if resp.Close {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	for id, runs := range log.runs {
		for _, r := range runs {
			if r.bad != "" {
				report("UNASKED: %s at %s: %s", id, r.runner, r.bad)
			}
		}
	}
	for _, o := range outcomes {
		ran := 0
		for _, r := range log.runs[o.id] {
			if r.ran {
				ran++
			}
		}
		if o.once && ran > 1 {
			report("TWICE: %s ran %d times", o.id, ran)
		}
		if o.once && ran > 0 && (o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421) {
			report("REFUSED: %s ran and got %d", o.id, o.status)
		}
	}
	note("%d requests, answers by status %v, %d breaks", len(outcomes), count, bad)
	if bad > 0 {
		return broken
	}
	return held
}
