package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"

	"rosevalve/platform/standin"
)

const (
	balance     = 1_000_000        // prepaid tokens
	recoverTime = 12 * time.Second // recover_s of the sheet
)

// withBalance returns the configuration with another total.
func withBalance(version int) []byte {
	return bytes.ReplaceAll(config(version), fmt.Appendf(nil, `"prepaid":%d`, prepaid), fmt.Appendf(nil, `"prepaid":%d`, balance))
}

// finalFault has all processes killed right after a configuration was acknowledged. With trouble, the store comes
// back from a copy while they are down.
func finalFault(rec *record, trouble bool) (bool, error) {
	in, err := newInstallation(rec, 3)
	if in != nil {
		defer in.close()
	}
	if err != nil {
		return false, err
	}
	in.store.Put("op", "config", withBalance(7))
	for _, id := range []string{"i-1", "i-2"} {
		_, err := in.addRunner(id, "e", func(standin.Received) standin.Reply {
			return standin.Reply{Events: events, Delay: 5 * time.Millisecond, EventInterval: time.Millisecond}
		})
		if err != nil {
			return false, err
		}
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var before, first, later tally
	in.load(&before, 5*time.Second, 3, nil, in.machines...)
	snapshot, copiedAt := in.store.Snapshot(), time.Now()
	in.load(&before, 3*time.Second, 3, nil, in.machines...)
	rec.sayf("before the final fault %d requests were served and %d were not; %d of %d tokens consumed", before.served.Load(), before.refused.Load(), before.consumed.Load(), balance)
	in.store.Put("op", "config", withBalance(9))
	rec.sayf("a configuration was acknowledged; all processes are killed")
	for _, m := range in.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range in.machines {
		m.awaitExit(time.Second)
	}
	if trouble {
		in.store.SetFault(standin.Unavailable)
		time.Sleep(800 * time.Millisecond)
		in.store.RollBack(snapshot)
		in.store.SetFault(standin.NoFault)
		rec.sayf("the store was away for a moment and is back from the copy, which is %.1f s old", time.Since(copiedAt).Seconds())
		in.writeAgain(withBalance(9))
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range in.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(10*time.Second, in.machines...); err != nil {
		return false, err
	}
	rec.sayf("the machines are back")
	in.load(&first, recoverTime+time.Second, 3, nil, in.machines...)
	in.load(&later, 20*time.Second, 3, nil, in.machines...)
	served, all := later.served.Load(), later.served.Load()+later.refused.Load()
	rec.sayf("later than recover_s %d of %d requests were served; %d of %d tokens consumed in all", served, all,
		before.consumed.Load()+first.consumed.Load()+later.consumed.Load(), balance)
	return 4*served < all && 4*before.served.Load() >= before.served.Load()+before.refused.Load(), nil
}
