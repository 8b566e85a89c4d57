package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["heads"] = heads }

const (
	// raisedHeaderBytes is max_header_bytes in the newer configuration; the first one has that of the sheets.
	raisedHeaderBytes = 32768
	// smallHead and largeHead are the sizes of the heads that clients send while the first and the newer configuration is in force.
	smallHead, largeHead = 12_000, 24_000
	// configApply is config_apply_ms.
	configApply = 2 * time.Second
)

// withHead sends a request whose head has n bytes. It returns the status of the answer, or 0 without one.
func withHead(addr, path, id string, n int) int {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	const last = "\r\nContent-Length: 0\r\n\r\n"
	head := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: h.example\r\nRosevalve-Attempt-Id: %s\r\nRosevalve-Deadline-Ms: 1500\r\nApi-Key: key-1\r\nX-Client-State: ", path, id)
	head += strings.Repeat("s", n-len(head)-len(last)) + last
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// heads has the operator raise max_header_bytes, and clients use it.
func heads(dir string, trouble bool) int {
	s, storeAddr := newStore()
	s.put("op", "config", config(1, 1_000_000))
	for n := range 2 {
		newRunner(s, fmt.Sprintf("i-app%d", n+1), "app", fmt.Sprintf("z%d", n+1), func(w http.ResponseWriter, _ *http.Request) bool {
			time.Sleep(15 * time.Millisecond)
			_, err := io.WriteString(w, "done")
			return err == nil
		})
	}
	routers := newRouters(dir, storeAddr, 3)
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.waitReady()
	}
	number, sent, denied := 0, 0, 0
	send := func(size int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		answers := map[int]int{}
		for range 40 {
			for _, r := range routers {
				number++
				id, path := fmt.Sprintf("r%d", number), []string{"book", "read"}[number%2]
				wg.Add(1)
				go func() {
					defer wg.Done()
					status := withHead(r.frontend, path, id, size)
					mu.Lock()
					defer mu.Unlock()
					sent++
					answers[status]++
					if status == http.StatusRequestHeaderFieldsTooLarge {
						denied++
					}
				}()
			}
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		note("answers to requests with a head of %d bytes, by status: %v", size, answers)
	}
	time.Sleep(contact)
	send(smallHead)
	size := smallHead
	if trouble {
		c := config(4, 1_000_000)
		limits, ok := c["limits"].(map[string]any)
		if !ok {
			fail("the configuration has no limits")
		}
		limits["max_header_bytes"] = raisedHeaderBytes
		s.put("op", "config", c)
		note("the store has confirmed a configuration with max_header_bytes = %d", raisedHeaderBytes)
		size = largeHead
	}
	time.Sleep(configApply + contact)
	send(size)
	allowed := 5 + sent/500
	note("%d answers 431 to proper requests of %d; %d are allowed", denied, sent, allowed)
	if denied > allowed {
		return broken
	}
	return held
}
