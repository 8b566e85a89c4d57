package vmlist

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// defaultInterval is the mean time between reads if Watcher.Interval is 0.
const defaultInterval = 10 * time.Second

// Watcher reads the list periodically and keeps the most recent one.
type Watcher struct {
	// List returns the current list, as Client.List does.
	List func(ctx context.Context) ([]VM, error)
	// Interval is the mean time between reads; 0 stands for 10 s. The actual time is between
	// half and one and a half times the mean.
	Interval time.Duration
	// OnError receives the errors of List; the previous list stays in use. It receives an
	// ErrIncomplete only once as long as it stays the same, and the list is used.
	OnError func(err error)

	current    atomic.Pointer[[]VM]
	incomplete string // message of the ErrIncomplete of the last list, or empty; used only by Run
}

// Run reads the list until ctx ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	interval := w.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	for {
		w.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
}

func (w *Watcher) read(ctx context.Context) {
	vms, err := w.List(ctx)
	if err == nil || errors.Is(err, ErrIncomplete) {
		w.current.Store(&vms)
	}
	if w.OnError != nil && err != nil && err.Error() != w.incomplete {
		w.OnError(err)
	}
	switch {
	case errors.Is(err, ErrIncomplete):
		w.incomplete = err.Error()
	case err == nil:
		w.incomplete = ""
	}
}

// VMs returns the most recent list, or nil before the first successful read.
func (w *Watcher) VMs() []VM {
	if vms := w.current.Load(); vms != nil {
		return *vms
	}
	return nil
}

// Leaving reports whether the list marks the VM at addr, an IP address and port, as leaving.
// An entry with a port is one process; one without a port is all processes of the VM.
func (w *Watcher) Leaving(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	for _, vm := range w.VMs() {
		if vm.Leaving && (vm.Addr == addr || vm.Addr == parsed.Addr().String()) {
			return true
		}
	}
	return false
}

// Addrs returns the addresses in the list. It adds the port to an entry that has none.
func (w *Watcher) Addrs(port uint16) []string {
	var out []string
	for _, vm := range w.VMs() {
		if ip, err := netip.ParseAddr(vm.Addr); err == nil {
			out = append(out, netip.AddrPortFrom(ip, port).String())
		} else if _, err := netip.ParseAddrPort(vm.Addr); err == nil {
			out = append(out, vm.Addr)
		}
	}
	return out
}
