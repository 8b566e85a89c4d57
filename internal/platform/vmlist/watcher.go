package vmlist

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"
)

const defaultInterval = 10 * time.Second

// Watcher keeps the newest list that was read.
type Watcher struct {
	// List reads the list.
	List func(ctx context.Context) ([]VM, error)
	// Interval is the mean time between reads.
	Interval time.Duration
	// OnError receives failures; the former list stays in use.
	OnError func(err error)

	current atomic.Pointer[[]VM]
}

// Run reads the list until ctx ends.
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
	if err == nil {
		w.current.Store(&vms)
		return
	}
	if w.OnError != nil {
		w.OnError(err)
	}
}

// VMs returns the newest list, which may lag behind the truth.
func (w *Watcher) VMs() []VM {
	if vms := w.current.Load(); vms != nil {
		return *vms
	}
	return nil
}

// Leaving reports whether the list says that the VM of the address is leaving. An
// entry with a port is one process, one without is all processes of the VM.
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

// Addrs returns the addresses in the list, with the port where an entry has none.
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
