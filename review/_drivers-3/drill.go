package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

const (
	drillInput  = 200
	drillEvents = 20
	drillStride = 3
)

func drillConfig(version, prepaid int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "ask", "hostname": "h.example", "path_prefix": "/ask/", "route_kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 600, "priority": 1, "backend": "llm", "max_attempts": 1, "session_affinity": true, "gap_aim_ms": 300},
		},
		"backends": []map[string]any{{"name": "llm", "health_path": "/healthz", "max_connections": 500, "protocol": "h1", "engine": map[string]any{"capacity": 96, "kv_tokens": 253891, "stride": drillStride, "models": []map[string]any{{"name": "m"}}}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}, "prepaid": prepaid}},
	}
}

func drill(dir string, trouble bool) int {
	variant := os.Getenv("V")
	prepaid := 250_000
	s, storeAddr := newStore()
	s.put("op", "config", drillConfig(1, prepaid))
	for n := range 3 {
		newRunner(s, fmt.Sprintf("i-llm%d", n), "llm", fmt.Sprintf("z%d", n+1), func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(20 * time.Millisecond)
			for k := 1; k <= drillEvents; k++ {
				time.Sleep(time.Duration(2+rand.IntN(6)) * time.Millisecond)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", k); err != nil {
					return false
				}
				w.(http.Flusher).Flush()
			}
			return true
		})
	}
	routers := newRouters(dir, storeAddr, 4)
	for _, r := range routers[:3] {
		r.start()
	}
	for _, r := range routers[:3] {
		r.waitReady()
	}
	var down [4]atomic.Bool
	down[3].Store(true)
	var delivered atomic.Int64
	var mu sync.Mutex
	count := map[int]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				n := rand.IntN(4)
				if down[n].Load() {
					time.Sleep(time.Millisecond)
					continue
				}
				status, events := askOnce(routers[n].frontend, fmt.Sprintf("d%d-%d", w, k))
				if events > 0 {
					delivered.Add(int64(drillInput + drillStride*events))
				}
				mu.Lock()
				count[status]++
				mu.Unlock()
				if status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	stat := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		note("%s: %d of %d tokens were delivered, answers %v", what, delivered.Load(), prepaid, count)
	}
	restart := func(i int, sig syscall.Signal, back bool) {
		down[i].Store(true)
		routers[i].signal(sig)
		<-routers[i].exited
		if back {
			routers[i].start()
			down[i].Store(false)
		}
	}
	time.Sleep(time.Duration(4000+rand.IntN(2000)) * time.Millisecond)
	if trouble {
		c := s.copyNow()
		stat("copy")
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		pick := rand.IntN(3)
		switch variant {
		case "2":
			restart(pick, syscall.SIGKILL, true)
		case "3":
			restart(pick, syscall.SIGKILL, false)
		case "4":
			go restart(pick, syscall.SIGTERM, false)
		case "5":
			go restart(pick, syscall.SIGTERM, true)
		case "6":
			routers[pick].signal(syscall.SIGSTOP)
			go func() { time.Sleep(6 * time.Second); routers[pick].signal(syscall.SIGCONT) }()
		case "7":
			for i := range 3 {
				restart(i, syscall.SIGKILL, true)
			}
		case "9":
			routers[3].start()
			down[3].Store(false)
		case "10":
			routers[3].start()
			down[3].Store(false)
			time.Sleep(1500 * time.Millisecond)
			restart(3, syscall.SIGKILL, false)
		case "11":
			restart(0, syscall.SIGKILL, true)
			restart(1, syscall.SIGKILL, true)
		case "12":
			go restart(0, syscall.SIGTERM, true)
			go restart(1, syscall.SIGTERM, true)
			go restart(2, syscall.SIGTERM, true)
		}
		time.Sleep(time.Duration(1000+rand.IntN(1500)) * time.Millisecond)
		stat("store away")
		s.goAway()
		time.Sleep(time.Duration(200+rand.IntN(800)) * time.Millisecond)
		switch variant {
		case "13":
			restart(pick, syscall.SIGKILL, true)
		case "14":
			go restart(pick, syscall.SIGTERM, true)
		}
		s.comeBack(c)
		stat("store back from the copy")
		time.Sleep(100 * time.Millisecond)
		s.put("op", "config", drillConfig(2, prepaid))
		switch variant {
		case "8":
			time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
			s.goAway()
			time.Sleep(300 * time.Millisecond)
			s.comeBack(c)
			s.put("op", "config", drillConfig(3, prepaid))
			stat("store back from the same copy again")
		case "15":
			restart(pick, syscall.SIGKILL, true)
		case "16":
			go restart(pick, syscall.SIGTERM, true)
		}
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		before := delivered.Load()
		time.Sleep(6 * time.Second)
		if delivered.Load() == before {
			break
		}
	}
	close(stop)
	wg.Wait()
	stat("end")
	if delivered.Load() > int64(prepaid) {
		return broken
	}
	return held
}

func askOnce(addr, id string) (status, events int) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "POST /ask/1 HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Model: m\r\nRosevalve-Token-Count: %d,%d\r\nRosevalve-Prefix-Hash: aa:100,%x:100\r\nRosevalve-Deadline-Ms: 6000\r\nApi-Key: key-1\r\nContent-Length: 0\r\n\r\n", id, drillInput, drillEvents*drillStride, rand.Uint32())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "id:") {
			events++
		}
	}
	return resp.StatusCode, events
}
