package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

// program is the router, as the build of the deploy file leaves it.
const program = "target/rosevalve"

// settingsFormat is deploy/settings.ini with the figures of a small installation's sheet.
const settingsFormat = `[router]
listen = %[1]s:8740
inner_listen = %[1]s:8748
failure_domain = %[2]s
region = region
regions = zone-a:region,zone-b:region,zone-c:region
drain_limit = 8s

[edge]
vm = %[3]s
ready_listen = %[1]s:8749
directory_listen = %[1]s:8746
metrics_listen = %[1]s:9464
cores = 0.4
memory_mb = 284
max_descriptors = 4100
link_mbps = 1000
max_age = 1s
withdraw_for = 30s
retry_ratio = 0.2
retry_slack = 54
retry_window = 10s
target_speeds = differ
cold_overshoot =
cold_slack =

[platform]
addr = %[4]s

[fleet]
seeds = %[5]s
clear = anywhere

[log]
format = json
`

// machine is one machine with its router process.
type machine struct {
	name, ip string
	dir      string // of the settings and the logs

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// installation is the store, the runners and the machines of a case.
type installation struct {
	rec      *record
	dir      string
	store    *standin.Store
	storeAt  string
	runners  []*standin.Runner
	machines []*machine

	mu      sync.Mutex // guards runs
	runs    map[string][]string
	version int
}

// newInstallation starts the stand-ins and configures n machines, which are not started yet.
func newInstallation(rec *record, n int) (*installation, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	in := &installation{rec: rec, dir: dir, store: &standin.Store{}, runs: make(map[string][]string)}
	l, err := net.Listen("tcp4", standin.UniqueHost()+":0")
	if err != nil {
		return in, err
	}
	in.storeAt = l.Addr().String()
	go func() { _ = in.store.Serve(l) }()
	for k := range n {
		in.machines = append(in.machines, &machine{name: fmt.Sprintf("edge-%d", k+1), ip: standin.UniqueHost(), dir: dir})
	}
	for k, m := range in.machines {
		if err := m.configure("zone-"+string(rune('a'+k%3)), in.storeAt, in.machines); err != nil {
			return in, err
		}
	}
	return in, nil
}

func (m *machine) configure(zone, storeAt string, all []*machine) error {
	var seeds []string
	for _, other := range all[:min(3, len(all))] {
		seeds = append(seeds, other.ip+":8748")
	}
	text := fmt.Sprintf(settingsFormat, m.ip, zone, m.name, storeAt, strings.Join(seeds, ","))
	return os.WriteFile(m.settingsFile(), []byte(text), 0o600)
}

func (m *machine) settingsFile() string { return filepath.Join(m.dir, m.name+".ini") }

// start starts the process of the machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	out, err := os.Create(filepath.Join(m.dir, fmt.Sprintf("%s-%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "edge", "--config", m.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		// The signal fails if the process has just ended.
		_ = m.cmd.Process.Signal(s)
	}
}

// awaitExit waits until the process has ended. It reports false after the given time.
func (m *machine) awaitExit(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ip + ":8749/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a machine did not become ready")

// awaitReady waits until the machines are ready.
func awaitReady(limit time.Duration, machines ...*machine) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startAll starts all machines and waits until they are ready.
func (in *installation) startAll() error {
	for _, m := range in.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return awaitReady(15*time.Second, in.machines...)
}

// close ends all processes and removes the temporary folder.
func (in *installation) close() {
	for _, m := range in.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range in.machines {
		m.awaitExit(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(in.dir)
	}
}

// addRunner starts a runner and writes its entry.
func (in *installation) addRunner(id, backend string, behave func(r standin.Received) standin.Reply) (*standin.Runner, error) {
	l, err := net.Listen("tcp4", standin.UniqueHost()+":0")
	if err != nil {
		return nil, err
	}
	r := &standin.Runner{ID: id, Backend: backend, Capacity: 64, Zone: "zone-a"}
	r.Behave = func(got standin.Received) standin.Reply {
		reply := behave(got)
		if !reply.NotRun {
			in.mu.Lock()
			in.runs[got.Attempt] = append(in.runs[got.Attempt], id)
			in.mu.Unlock()
			in.rec.printf("run      %s at %s for %s", got.Attempt, id, got.Tenant)
		}
		return reply
	}
	go func() { _ = r.Serve(l) }()
	for !r.Serving() {
		time.Sleep(time.Millisecond)
	}
	in.store.Put("servers", id, r.Entry("ready"))
	in.runners = append(in.runners, r)
	return r, nil
}

// writeAgain writes what the operator and the runners wrote, after a return of the store.
func (in *installation) writeAgain(config []byte) {
	in.store.Put("op", "config", config)
	for _, r := range in.runners {
		in.store.Put("servers", r.ID, r.Entry("ready"))
	}
}
