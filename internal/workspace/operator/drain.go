package operator

import (
	"context"
	"fmt"
	"net/netip"

	"rosevalve/internal/workspace/catalogue"
)

// drain sets or clears the leaving state of a target, of all targets on a VM, or of the
// router on a VM without targets. Leaving targets and routers receive no new work.
func (e *Executor) drain(ctx context.Context, cmd command, s *DrainStatement, leaving bool) (Result, error) {
	if s.Kind == "vm" {
		return e.drainVM(ctx, cmd, s, leaving)
	}
	version, err := e.commitChange(ctx, cmd, nil, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		t, exists := snap.Target(s.Name)
		if !exists {
			return nil, errorf(s.Pos, "target %q does not exist", s.Name)
		}
		t.Leaving = leaving
		return singleItem(catalogue.NewItem(catalogue.KindTarget, s.Name, t))
	})
	if err != nil {
		return Result{}, changeError("drain", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("target %q %s", s.Name, drainStatus(leaving)), Version: version}, nil
}

// drainStatus returns the part of a result message that describes the new state of a target.
func drainStatus(leaving bool) string {
	if leaving {
		return "receives no new work"
	}
	return "receives work again"
}

// drainVM drains or undrains all targets on the VM in one configuration change. If the
// VM has no target, it drains or undrains the router on it.
func (e *Executor) drainVM(ctx context.Context, cmd command, s *DrainStatement, leaving bool) (Result, error) {
	if _, err := netip.ParseAddr(s.Name); err != nil {
		return Result{}, errorf(s.Pos, "vm %q is not an IP address", s.Name)
	}
	if len(targetsOn(e.Catalogue.Current(), s.Name)) == 0 {
		return e.drainRouter(ctx, cmd, s, leaving)
	}
	version, err := e.commitChange(ctx, cmd, nil, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		var items []catalogue.Item
		for _, t := range targetsOn(snap, s.Name) {
			t.Leaving = leaving
			item, err := catalogue.NewItem(catalogue.KindTarget, t.Addr, t)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(items) == 0 {
			return nil, errorf(s.Pos, "vm %q has no target", s.Name)
		}
		return items, nil
	})
	if err != nil {
		return Result{}, changeError("drain", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("each target on vm %q %s", s.Name, drainStatus(leaving)), Version: version}, nil
}

// targetsOn returns the targets whose IP address is that of the VM.
func targetsOn(snap *catalogue.Snapshot, vm string) []catalogue.Target {
	var out []catalogue.Target
	for _, t := range snap.Targets() {
		addr, err := netip.ParseAddrPort(t.Addr)
		if err == nil && addr.Addr().String() == vm {
			out = append(out, t)
		}
	}
	return out
}

// drainRouter drains or undrains the router on a VM.
func (e *Executor) drainRouter(ctx context.Context, cmd command, s *DrainStatement, leaving bool) (Result, error) {
	if e.DrainVM == nil {
		return Result{}, errorf(s.Pos, "vm %q has no target; end the router on a VM with SIGTERM, which drains it", s.Name)
	}
	err := e.runAudited(ctx, cmd, func() error { return e.DrainVM(ctx, s.Name, leaving) })
	if err != nil {
		return Result{}, fmt.Errorf("drain vm %q: %w", s.Name, err)
	}
	return Result{Message: fmt.Sprintf("vm %q: drain is %t", s.Name, leaving)}, nil
}
