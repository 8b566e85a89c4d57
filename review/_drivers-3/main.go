// Command review-3 plays the scripts of the third review: real router processes beside small stand-ins.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// pids are the processes that the case has started and that have not ended.
type pids struct {
	mu  sync.Mutex
	all map[int]bool
}

var started = pids{all: map[int]bool{}}

func (p *pids) add(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[pid] = true
}

func (p *pids) remove(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, pid)
}

// killAll ends the processes that were started, by their ids.
func (p *pids) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pid := range p.all {
		_ = syscall.Kill(pid, syscall.SIGCONT)
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

var rec record

// note writes a line to the record and to the output.
func note(format string, args ...any) { fmt.Print(log(format, args...)) }

// log writes a line to the record and returns it.
func log(format string, args ...any) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
	if rec.out != nil {
		_, _ = rec.out.WriteString(line)
	}
	return line
}

func fail(format string, args ...any) {
	note("can't run: "+format, args...)
	end(cannotRun)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var endOnce sync.Once

func end(code int) {
	endOnce.Do(func() {
		started.killAll()
		time.Sleep(100 * time.Millisecond)
		os.Exit(code)
	})
	select {}
}

// cases are the scripts by their names.
var cases = map[string]func(dir string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(cannotRun)
	}
	rec.began = time.Now()
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	rec.out = out
	time.AfterFunc(115*time.Second, func() { fail("the case takes too long") })
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	trouble := os.Getenv("TROUBLE") != "0"
	note("trouble: %v", trouble)
	code := cases[os.Args[1]](dir, trouble)
	if code == held && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		note("logs of the processes: %s", dir)
	}
	end(code)
}
