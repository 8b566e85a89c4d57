//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

// world holds the stand-ins and the router processes of one case.
type world struct {
	trouble bool // the disruption takes place
	dir     string
	began   time.Time
	store   *standin.Store
	routers []*router
	runners []*standin.Runner

	mu     sync.Mutex // guards record and attempts
	record *bufio.Writer
	file   *os.File

	requests    atomic.Int64
	partitioned atomic.Bool // the routers of side 0 and side 1 do not reach each other
}

func newWorld(folder string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &world{trouble: trouble, dir: dir, began: time.Now(), store: &standin.Store{}, file: f, record: bufio.NewWriter(f)}, nil
}

// note writes a line to the record and to standard output.
func (w *world) note(format string, args ...any) {
	fmt.Printf("%7.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.log(format, args...)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends the processes and closes the record.
func (w *world) end() {
	for _, r := range w.routers {
		r.kill()
	}
	for _, r := range w.runners {
		for _, in := range r.Received() {
			w.log("runner %s got %s of tenant %s", r.ID, in.Attempt, in.Tenant)
		}
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.dir)
}

// freeAddrs sets each address to another free one of a loopback host.
func freeAddrs(host string, addrs ...*string) error {
	for _, addr := range addrs {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*addr = l.Addr().String()
	}
	return nil
}

// addEngine starts a runner of service e, each of whose answers is a stream of that many events, and announces it.
func (w *world) addEngine(id string, events int) error {
	return w.addRunnerOf("e", id, func(standin.Received) standin.Reply {
		return standin.Reply{Events: events, EventInterval: 5 * time.Millisecond}
	})
}

// addRunnerOf starts a runner of a service and announces it.
func (w *world) addRunnerOf(service, id string, behave func(standin.Received) standin.Reply) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &standin.Runner{ID: id, Backend: service, Capacity: 512, Behave: behave}
	go func() { _ = r.Serve(l) }()
	for !r.Serving() {
		time.Sleep(time.Millisecond)
	}
	w.runners = append(w.runners, r)
	w.store.Put("servers", id, r.Entry("ready"))
	return nil
}

// configFormat is the configuration: one streaming route to the engines, and the tenants v and w. Its arguments are the
// version and the prepaid tokens of w.
const configFormat = `{"version":%d,
 "routes":[{"name":"ask","hostname":"h.example","path_prefix":"/ask/","route_kind":"streaming","timeout_ms":6000,"target_latency_ms":1000,"priority":1,"backend":"e","max_attempts":1,"anonymous":false,"session_affinity":true,"stream_resume":false,"gap_aim_ms":300}],
 "backends":[{"name":"e","health_path":"/healthz","max_connections":500,"engine":{"capacity":64,"kv_tokens":900000,"stride":1}}],
 "tenants":[{"name":"v","api_keys":["key-v"],"priority":1,"prepaid":100000000},{"name":"w","api_keys":["key-w"],"priority":1,"prepaid":%d}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func (w *world) writeConfig(version int, prepaid int64) {
	w.store.Put("op", "config", fmt.Appendf(nil, configFormat, version, prepaid))
	w.note("the store has acknowledged configuration %d, which gives tenant w %d prepaid tokens", version, prepaid)
}

// restoreStore lets the store come back from a copy of itself. What the operator and the runners wrote is written again.
func (w *world) restoreStore(c standin.Snapshot) {
	operator, targets := w.store.Rows("op"), w.store.Rows("servers")
	w.store.RollBack(c)
	for _, r := range append(operator, targets...) {
		w.store.Put(r.Table, r.Key, r.Value)
	}
	w.note("the store is back from a copy of itself; Store-Era is %d", w.store.Era())
}

// router is a router process with its machine's name and addresses.
type router struct {
	w                            *world
	name, zone                   string
	frontend, directory, control string
	ready, metrics               string
	peers                        *link       // between the other routers and this one; nil for none
	refused                      atomic.Bool // the store turns this machine away
	settings                     string
	maxFDs                       int // limit of descriptors of the process; 0 leaves it as it is

	mu    sync.Mutex    // guards the fields below
	cmd   *exec.Cmd     // nil if no process was started, or it was ended
	ended chan struct{} // closed when the process of cmd has ended
}

// addRouter prepares a machine with its own link to the store. Other routers reach it over a link if it is on a side.
func (w *world) addRouter(name string, side int) (*router, error) {
	r := &router{w: w, name: name, zone: "z" + name}
	host := fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+10, len(w.routers)+10)
	if err := freeAddrs(host, &r.frontend, &r.directory, &r.control, &r.ready, &r.metrics); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			if r.refused.Load() {
				out.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.store.ServeHTTP(out, in)
		}))
	}()
	inner := ""
	if side >= 0 {
		if r.peers, err = newLink(w, r.control, side); err != nil {
			return nil, err
		}
		inner = "inner_address = " + r.peers.addr + "\n"
	}
	r.settings = filepath.Join(w.dir, name+".ini")
	w.routers = append(w.routers, r)
	// The keys are those of deploy/settings.ini.
	text := fmt.Sprintf("[router]\nlisten = %s\ninner_listen = %s\nfailure_domain = %s\nregion = slo-center\ndrain_limit = 8s\n\n"+
		"[edge]\nvm = %s\nready_listen = %s\ndirectory_listen = %s\nmetrics_listen = %s\n%scores = 0.4\nmemory_mb = 284\nlink_mbps = 1000\nmax_age = 1s\n"+
		"retry_ratio = 0.2\nretry_slack = 56\nretry_window = 10s\n\n[platform]\naddr = %s\n\n[fleet]\nseeds = %s\nclear = anywhere\n\n[log]\nformat = json\n",
		r.frontend, r.control, r.zone, name, r.ready, r.directory, r.metrics, inner, l.Addr(), strings.Join(w.seeds(), ","))
	return r, os.WriteFile(r.settings, []byte(text), 0o600)
}

// seeds returns the addresses of the first three machines for other routers.
func (w *world) seeds() []string {
	var out []string
	for _, r := range w.routers {
		addr := r.control
		if r.peers != nil {
			addr = r.peers.addr
		}
		out = append(out, addr)
	}
	return out[:min(3, len(out))]
}

// start starts a process as the deploy file says.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	r.cmd = exec.Command("target/rosevalve", "edge", "--config", r.settings)
	if r.maxFDs > 0 {
		r.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/rosevalve edge --config %s", r.maxFDs, r.settings))
	}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.w.note("router %s starts", r.name)
	if err := r.cmd.Start(); err != nil {
		r.cmd = nil
		return err
	}
	cmd, ended := r.cmd, make(chan struct{})
	r.ended = ended
	go func() {
		// Its state tells how it has ended.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// take returns the process, which the caller is to end, and the channel that is closed when it has ended.
func (r *router) take() (*exec.Cmd, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := r.cmd
	r.cmd = nil
	return cmd, r.ended
}

// waitReady waits until the router says that it is ready.
func (r *router) waitReady() error {
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		resp, err := http.Get("http://" + r.ready + "/v1/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready; its process %s", r.name, r.exited())
}

// noteTokens records the router's own count of its tokens.
func (r *router) noteTokens() {
	resp, err := http.Get("http://" + r.metrics + "/debug/state")
	if err != nil {
		r.w.note("router %s: %v", r.name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct{ Tokens, Era json.RawMessage }
	err = json.NewDecoder(resp.Body).Decode(&state)
	r.w.note("router %s: tokens %s, era %s, %v", r.name, state.Tokens, state.Era, err)
}

// terminate sends SIGTERM and waits for the end of the process.
func (r *router) terminate() error {
	cmd, ended := r.take()
	r.w.note("router %s gets SIGTERM", r.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-ended
	r.w.note("router %s has ended: %v", r.name, cmd.ProcessState)
	if !cmd.ProcessState.Success() {
		return fmt.Errorf("router %s: %v", r.name, cmd.ProcessState)
	}
	return nil
}

// exited tells whether the process has ended by itself, with the last lines of its log.
func (r *router) exited() string {
	state := "runs"
	select {
	case <-r.ended:
		state = "has ended by itself"
	default:
	}
	text, err := os.ReadFile(filepath.Join(r.w.dir, r.name+".log"))
	if err != nil {
		return err.Error()
	}
	return state + "; its log ends with: " + string(text[max(0, len(text)-700):])
}

// kill ends the process at once.
func (r *router) kill() {
	cmd, ended := r.take()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// answer is what a client got.
type answer struct {
	status int
	events int
	whole  bool
	text   string
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 6 * time.Second}

// ask sends one request of a tenant to the router as a client does, and records it.
func (r *router) ask(tenant string, tokensIn, tokensOut int) answer {
	n := r.w.requests.Add(1)
	id := fmt.Sprintf("%016x", n)
	req, err := http.NewRequest(http.MethodPost, "http://"+r.frontend+"/ask/1", strings.NewReader("question"))
	if err != nil {
		return answer{text: err.Error()}
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"Rosevalve-Attempt-Id": id, "Rosevalve-Model": "m", "Rosevalve-Token-Count": fmt.Sprintf("%d,%d", tokensIn, tokensOut),
		"Rosevalve-Prefix-Hash": fmt.Sprintf("5c1e07a2:%d,%x:%d", tokensIn/2, n, tokensIn-tokensIn/2),
		"Rosevalve-Deadline-Ms": "6000", "Api-Key": "key-" + tenant,
	} {
		req.Header.Set(name, value)
	}
	a := read(client.Do(req))
	r.w.log("client of tenant %s asked router %s, %s, %d+%d tokens: status %d, %d events, whole %v %.60s", tenant, r.name, id, tokensIn, tokensOut, a.status, a.events, a.whole, a.text)
	return a
}

func read(resp *http.Response, err error) answer {
	if err != nil {
		return answer{text: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, whole: err == nil}
	if resp.StatusCode == http.StatusOK {
		a.events = len(standin.Events(string(text)))
	} else {
		a.text = string(text)
	}
	return a
}

// link passes the connections of other routers on to one router. Once the fleet is partitioned, it passes no byte on
// between routers of different sides, and the connections stay open.
type link struct {
	w        *world
	addr, to string
	side     int // of the router behind it
}

func newLink(w *world, to string, side int) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{w: w, addr: l.Addr().String(), to: to, side: side}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// serve passes one connection on. The first message on it names the router that has opened it by its address.
func (p *link) serve(c net.Conn) {
	first := make([]byte, 16<<10)
	n, err := c.Read(first)
	if err != nil {
		_ = c.Close()
		return
	}
	first = first[:n]
	isCut := func() bool { return p.w.partitioned.Load() && p.w.sideOf(first) != p.side }
	if isCut() {
		return
	}
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	if _, err := up.Write(first); err != nil {
		_ = up.Close()
		_ = c.Close()
		return
	}
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := src.Read(buf)
			if isCut() {
				return
			}
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = dst.Close()
		_ = src.Close()
	}
	go pass(up, c)
	pass(c, up)
}

// sideOf returns the side of the router that a message names.
func (w *world) sideOf(message []byte) int {
	for _, r := range w.routers {
		if bytes.Contains(message, []byte(r.peers.addr)) {
			return r.peers.side
		}
	}
	return -1
}
