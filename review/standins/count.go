//go:build review

package main

import (
	"fmt"
	"math"
	"time"

	"rosevalve/platform/standin"
)

const (
	// engineMemory is kv_tokens of the configuration.
	engineMemory = 900_000
	// largeOutput and unlimitedOutput are maximum numbers of output tokens that no runner has memory for.
	largeOutput     = 2 * engineMemory
	unlimitedOutput = math.MaxInt64
)

// playLargeRequest checks BUDGET: a client sends one request to each router whose maximum number of output tokens exceeds
// the memory of the runners, which reject it. With the trouble, the number is the largest that 64 bits hold.
func playLargeRequest(w *world) (bool, error) {
	const (
		prepaid  = 100_000
		tokensIn = 1_000
	)
	if err := w.startFleet([]string{"a", "b"}, nil, prepaid); err != nil {
		return false, err
	}
	used := []*usage{runLoad("w", w.routers, 1, tokensIn, 100*time.Millisecond, 2*time.Second)}
	large := largeOutput
	if w.trouble {
		large = unlimitedOutput
	}
	for _, r := range w.routers {
		w.rejectNext()
		a := r.ask("w", 100, large)
		w.note("a request of 100+%d tokens at router %s: status %d, %d events %.80s", large, r.name, a.status, a.events, a.text)
		if a.events > 0 {
			return false, fmt.Errorf("a runner ran a request that exceeds its memory")
		}
	}
	used = append(used, runLoad("w", w.routers, 1, tokensIn, 100*time.Millisecond, 20*time.Second))
	w.noteTokens()
	var tokens int64
	for _, u := range used {
		w.note("tenant w: %v", u)
		tokens += u.tokens.Load()
	}
	w.note("tenant w has consumed %d tokens of %d prepaid ones", tokens, prepaid)
	return tokens > prepaid, nil
}

// rejectNext makes the runners reject the next request as one that exceeds their memory.
func (w *world) rejectNext() {
	id := fmt.Sprintf("%016x", w.requests.Load()+1)
	for _, r := range w.runners {
		next := r.Behave
		r.Behave = func(in standin.Received) standin.Reply {
			if in.Attempt == id {
				return standin.Reply{Status: 503, NotRun: true}
			}
			return next(in)
		}
	}
}
