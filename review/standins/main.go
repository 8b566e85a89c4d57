//go:build review

// Program standins plays one case of the review: it starts router processes with the program and the
// settings of the deploy file, and stand-ins of the store, the runners and the clients beside them.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds one run of a case.
const maxRun = 118 * time.Second

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(w *world) (bool, error){
	"partition-drill": playPartitionDrill,
	"removal-drill":   playRemovalDrill,
	"kill-drill":      playKillDrill,
	"lost-machine":    playLostMachine,
	"crowd":           playCrowd,
	"large-request":   playLargeRequest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(failed)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	giveUp := func(why string) {
		w.note("could not run: %s", why)
		w.end()
		os.Exit(failed)
	}
	time.AfterFunc(maxRun, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { giveUp((<-signals).String()) }()
	isBroken, err := cases[os.Args[1]](w)
	code := held
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		code = failed
	case isBroken:
		w.note("RULE BROKEN")
		code = broken
	default:
		w.note("the rule held")
	}
	w.end()
	os.Exit(code)
}
