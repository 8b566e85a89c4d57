package crash

import (
	"context"
	"sync"
	"time"
)

const (
	// collectTime is how long lost attempts of one crash are collected before they are reported.
	collectTime = 30 * time.Millisecond
	// probeTimeout bounds the connection attempt that shows whether the target is gone.
	probeTimeout = 250 * time.Millisecond
)

// Part is a part of the prompt of a lost attempt that requests may share.
type Part struct {
	// ID identifies the text of the part.
	ID uint64
	// Position is the number of parts before it in the prompt.
	Position int
}

// Lost describes an attempt whose connection broke before its answer was complete.
type Lost struct {
	// Service, Instance and Addr identify the target, and Incarnation its current process; it is
	// empty if the targets do not tell.
	Service, Instance, Addr, Incarnation string
	// Parts are the shared parts of the prompt if they may have caused the crash; empty if the
	// answer shows that they did not.
	Parts []Part
}

// Crash is the crash of a target, as far as this router's attempts show it.
type Crash struct {
	// Service, Instance, Addr and Incarnation are those of the lost attempts.
	Service, Instance, Addr, Incarnation string
	// LostAttempts is the number of this router's attempts that were lost.
	LostAttempts int
	// Prompts are the shared parts of each prompt that may have caused the crash.
	Prompts [][]Part
}

// Detector reports crashes. A target has crashed if a connection to it breaks and its host then
// refuses connections; a host that does not respond shows nothing.
type Detector struct {
	// Refuses reports whether the host at addr is reachable and no process listens there.
	Refuses func(ctx context.Context, addr string) bool
	// OnCrash is called with each crash, and again if more lost attempts become known later. It
	// must not block.
	OnCrash func(c Crash)

	mu      sync.Mutex        // guards pending
	pending map[string][]Lost // by address; lost attempts that have not been reported
}

// ConnectionLost records a lost attempt. It does not block.
func (d *Detector) ConnectionLost(l Lost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = make(map[string][]Lost)
	}
	d.pending[l.Addr] = append(d.pending[l.Addr], l)
	if len(d.pending[l.Addr]) == 1 {
		go d.investigate(l.Addr)
	}
}

// investigate collects the lost attempts at an address, and reports a crash if the target is gone.
func (d *Detector) investigate(addr string) {
	time.Sleep(collectTime)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	gone := d.Refuses(ctx, addr)
	d.mu.Lock()
	lost := d.pending[addr]
	delete(d.pending, addr)
	d.mu.Unlock()
	if gone {
		d.OnCrash(merge(lost))
	}
}

// merge returns the crash that lost the attempts, of which there is at least one.
func merge(lost []Lost) Crash {
	first := lost[0]
	c := Crash{Service: first.Service, Instance: first.Instance, Addr: first.Addr, Incarnation: first.Incarnation, LostAttempts: len(lost)}
	for _, l := range lost {
		if len(l.Parts) > 0 {
			c.Prompts = append(c.Prompts, l.Parts)
		}
	}
	return c
}
