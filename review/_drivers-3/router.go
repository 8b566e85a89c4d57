package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is one process of the project, started as the deploy file says.
type router struct {
	name, frontend, ready, directory, control string

	dir    string
	cmd    *exec.Cmd
	exited chan struct{}
}

// freeAddr returns a free loopback address.
func freeAddr(host string) string {
	l, err := net.Listen("tcp4", host+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newRouters prepares n routers in as many zones. Each has a loopback address of its own.
func newRouters(dir, storeAddr string, n int) []*router {
	var out []*router
	for i := range n {
		host := fmt.Sprintf("127.0.%d.%d", 70+os.Getpid()%150, 11+i)
		out = append(out, &router{
			name: fmt.Sprintf("edge-z%d-1", i+1), frontend: freeAddr(host), ready: freeAddr(host),
			directory: freeAddr(host), control: freeAddr(host), dir: dir,
		})
	}
	var seeds []string
	for _, r := range out[:min(3, len(out))] {
		seeds = append(seeds, r.control)
	}
	for i, r := range out {
		r.writeSettings(storeAddr, i, strings.Join(seeds, ","))
	}
	return out
}

// writeSettings fills the template of the deploy file with the figures of the sheet of nidurfall-rounds.
func (r *router) writeSettings(storeAddr string, zone int, seeds string) {
	host, _, _ := net.SplitHostPort(r.frontend)
	metrics := freeAddr(host)
	text := fmt.Sprintf(`[router]
listen = %s
inner_listen = %s
failure_domain = z%d
region = r1
regions = z1:r1,z2:r1,z3:r1,z4:r1
drain_limit = 8s

[edge]
vm = %s
ready_listen = %s
directory_listen = %s
metrics_listen = %s
cores = 0.4
memory_mb = 284
max_descriptors = 4100
link_mbps = 1000.0
max_age = 1s
withdraw_for = 30s
retry_ratio = 0.2
retry_slack = 54
retry_window = 10s
target_speeds = differ
cold_overshoot =
cold_slack =

[platform]
addr = %s

[fleet]
seeds = %s
clear = anywhere

[log]
format = json
`, r.frontend, r.control, zone+1, r.name, r.ready, r.directory, metrics, storeAddr, seeds)
	check(os.WriteFile(r.settings(), []byte(text), 0o600))
}

func (r *router) settings() string { return filepath.Join(r.dir, r.name+".ini") }

// start starts the process.
func (r *router) start() {
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.cmd = exec.Command("target/rosevalve", "edge", "--config", r.settings())
	r.cmd.Stdout, r.cmd.Stderr = out, out
	check(r.cmd.Start())
	r.exited = make(chan struct{})
	started.add(r.cmd.Process.Pid)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		started.remove(cmd.Process.Pid)
		_ = out.Close()
		close(exited)
	}(r.cmd, r.exited)
}

// waitReady waits until the process says that it is ready.
func (r *router) waitReady() {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fail("router %s is not ready", r.name)
}

func (r *router) signal(s syscall.Signal) { check(r.cmd.Process.Signal(s)) }
