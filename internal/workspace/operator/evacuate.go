package operator

import (
	"context"
	"fmt"
	"slices"

	"rosevalve/internal/workspace/catalogue"
)

// evacuate has the targets of a failure domain receive no new requests.
func (e *Executor) evacuate(ctx context.Context, cmd command, s *EvacuateStatement) (Result, error) {
	version, err := e.commitChange(ctx, cmd, nil, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		inDomain := func(t catalogue.Target) bool { return t.FailureDomain == s.Domain }
		if s.Domain == "" || !slices.ContainsFunc(snap.Targets(), inDomain) {
			return nil, errorf(s.Pos, "no target is in failure domain %q", s.Domain)
		}
		return singleItem(catalogue.NewItem(catalogue.KindEvacuation, s.Domain, catalogue.Evacuation{FailureDomain: s.Domain}))
	})
	if err != nil {
		return Result{}, changeError("evacuate", "failure domain", s.Domain, err)
	}
	return Result{Message: fmt.Sprintf("each target in failure domain %q %s", s.Domain, drainStatus(true)), Version: version}, nil
}

// restore takes the evacuation of a failure domain back. Targets that are drained themselves stay so.
func (e *Executor) restore(ctx context.Context, cmd command, s *EvacuateStatement) (Result, error) {
	version, err := e.commitChange(ctx, cmd, nil, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		if !snap.Evacuated(s.Domain) {
			return nil, errorf(s.Pos, "failure domain %q is not evacuated", s.Domain)
		}
		return []catalogue.Item{catalogue.Deletion(catalogue.KindEvacuation, s.Domain)}, nil
	})
	if err != nil {
		return Result{}, changeError("restore", "failure domain", s.Domain, err)
	}
	return Result{Message: fmt.Sprintf("failure domain %q is no longer evacuated", s.Domain), Version: version}, nil
}

// evacuationTable lists the evacuated failure domains with the number of their targets.
func evacuationTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"failure_domain", UnitText}, {"targets", UnitNumber}}}
	for _, domain := range snap.Evacuations() {
		n := int64(0)
		for _, target := range snap.Targets() {
			if target.FailureDomain == domain {
				n++
			}
		}
		t.Rows = append(t.Rows, []Cell{TextCell(domain), NumberCell(n)})
	}
	return t
}
