package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

const (
	memoryMB    = 284 // of the sheet
	manyParts   = 1100
	usualParts  = 3
	partTokens  = 16 // a block of the engines
	partClients = 48
	partPause   = 240 * time.Millisecond // of a client between two requests
	partTime    = 105 * time.Second
	promptTime  = 540 * time.Millisecond // for which an engine of the sheet reads such a prompt
)

// partsHeader returns a prompt in n parts that no other prompt has.
func partsHeader(n int) string {
	var b strings.Builder
	for k := range n {
		if k > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%08x:%d", rand.Uint32(), partTokens)
	}
	return b.String()
}

// residentMB returns the memory of the process of the machine.
func (m *machine) residentMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// unlimited returns the configuration with a total that is not used up.
func unlimited() []byte {
	return []byte(strings.ReplaceAll(string(config(7)), fmt.Sprintf(`"prepaid":%d`, prepaid), `"prepaid":1000000000`))
}

// promptsInManyParts has clients send prompts that are listed in many parts. The process is killed when it exceeds the memory
// of its machine, as the platform does.
func promptsInManyParts(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, 1)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", unlimited())
	for n := range 9 {
		_, err := in.addRunner(fmt.Sprintf("i-%d", n+1), "e", func(standin.Received) standin.Reply {
			return standin.Reply{Events: 20, Delay: promptTime, EventInterval: 10 * time.Millisecond}
		})
		if err != nil {
			return false, err
		}
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	n := usualParts
	if trouble {
		n = manyParts
	}
	m := in.machines[0]
	var served, failed, lost atomic.Int64
	var stop atomic.Bool
	var all sync.WaitGroup
	for range partClients {
		all.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for first := true; !stop.Load(); first = false {
				a := in.send(c, m, request{path: "/ask/x", key: workspaceKey, in: n * partTokens, out: 20, deadline: 8 * time.Second, prefix: partsHeader(n)})
				in.mu.Lock()
				ran := len(in.runs[a.id]) > 0
				in.mu.Unlock()
				switch {
				case a.status == http.StatusOK && a.complete:
					served.Add(1)
				case a.status == 0 || !a.complete:
					failed.Add(1)
					if ran && a.status == 0 && !first {
						lost.Add(1)
						rec.printf("lost     %s: a runner ran it, and its kept channel ended without an answer", a.id)
					}
				default:
					failed.Add(1)
				}
				time.Sleep(partPause)
			}
		})
	}
	largest := 0
	for end := time.Now().Add(partTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		largest = max(largest, m.residentMB())
		if largest > memoryMB {
			rec.sayf("the process has %d MB and is killed, since its machine has %d MB; %d requests served so far", largest, memoryMB, served.Load())
			m.signal(syscall.SIGKILL)
			break
		}
	}
	stop.Store(true)
	all.Wait()
	rec.sayf("largest memory %d MB of %d MB; %d requests served, %d failed, %d of them lost on kept channels", largest, memoryMB, served.Load(), failed.Load(), lost.Load())
	return lost.Load() > 3, nil
}
