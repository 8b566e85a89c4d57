package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosevalve/internal/platform/table"
)

// restoredRow is what the newest instance of a VM has recorded for an era that began while
// routers ran.
type restoredRow struct {
	// Whole means that everything that the VM has drawn is recorded in the era. Only instances
	// that know their VM's history set it.
	Whole bool `json:"whole,omitempty"`
	// Witness means that the instance ran before the era began, so that Awaits contains all
	// instances that it knew.
	Witness bool `json:"witness,omitempty"`
	// Life is the instance that wrote the row. Vouched means that it knows its VM's history
	// from other routers, since its predecessor ended without restoring its rows.
	Life    string `json:"life,omitempty"`
	Vouched bool   `json:"vouched,omitempty"`
	// Lives are instances of the VM that have drawn nothing before the era.
	Lives []string `json:"lives,omitempty"`
	// Awaits are the instances that may have drawn before the era, as far as the VM knows.
	Awaits []string `json:"awaits,omitempty"`
}

func (p *Manager) restoredPlace(era uint64) table.Location {
	return table.Location{Table: tableTokens, Key: prefixRestored + keyInEra(p.VM, era)}
}

// restoredRows are the rows of all eras, by era and VM.
type restoredRows map[uint64]map[string]restoredRow

// readRestored reads which VMs have restored their rows in which eras.
func (p *Manager) readRestored(ctx context.Context) (restoredRows, error) {
	out := make(restoredRows)
	rows, err := p.readRows(ctx, table.Range{Table: tableTokens, From: prefixRestored, To: endOfRestored})
	if err != nil {
		return nil, fmt.Errorf("read restored VMs: %w", err)
	}
	for _, row := range rows {
		if err := out.add(row); err != nil {
			return nil, fmt.Errorf("read restored VMs: %w", err)
		}
	}
	return out, nil
}

func (rows restoredRows) add(row table.Row) error {
	name, era, err := splitKey(row.Key)
	if err != nil {
		return err
	}
	var in restoredRow
	if err := row.Decode(&in); err != nil {
		return err
	}
	if rows[era] == nil {
		rows[era] = make(map[string]restoredRow)
	}
	rows[era][strings.TrimPrefix(name, prefixRestored)] = in
	return nil
}

// accountsFor reports whether an era's rows account for everything that an instance has drawn
// before.
func (rows restoredRows) accountsFor(era uint64, instance string) bool {
	row, ok := rows[era][vmOf(instance)]
	return ok && (row.Whole || slices.Contains(row.Lives, instance))
}

// awaited returns the sorted IDs of the instances that an era waits for.
func (rows restoredRows) awaited(era uint64) []string {
	all := make(map[string]bool)
	for _, row := range rows[era] {
		for _, instance := range row.Awaits {
			if !rows.accountsFor(era, instance) {
				all[instance] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// settled reports whether an era waits for no instance. At least one instance that observed
// the start of the era must have recorded which instances ran before.
func (rows restoredRows) settled(era uint64) bool {
	startObserved := false
	for _, row := range rows[era] {
		startObserved = startObserved || row.Witness
	}
	return startObserved && len(rows.awaited(era)) == 0
}

// writeRestored writes this VM's record for an era, and removes those for earlier ones.
func (p *Manager) writeRestored(ctx context.Context, era uint64, row restoredRow, rows restoredRows) error {
	var c table.Commit
	if err := c.SetAt(p.restoredPlace(era), row); err != nil {
		return fmt.Errorf("record restored rows: %w", err)
	}
	for old, vms := range rows {
		if _, recorded := vms[p.VM]; recorded && old < era {
			c.RemoveAt(p.restoredPlace(old))
		}
	}
	stamp, err := p.Commit(ctx, c)
	p.observeStamp(stamp)
	if err == nil && stamp.Era != era {
		err = errEraPassed
	}
	if err != nil {
		return fmt.Errorf("record restored rows: %w", err)
	}
	return nil
}
