package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosevalve/internal/platform/table"
)

// restoredRow is what the newest incarnation of a VM has recorded for an era that began while
// routers ran.
type restoredRow struct {
	// Complete means that everything that the VM has drawn is recorded in the era. Only incarnations
	// that know the VM's history set it.
	Complete bool `json:"whole,omitempty"`
	// StartObserved means that the incarnation ran before the era began and knew which others had run
	// within the maximum age of a copy, so that Awaits contains all of them.
	StartObserved bool `json:"witness,omitempty"`
	// Incarnation is the one that wrote the row. HistoryFromPeers means that it knows its VM's history
	// from other routers, since its predecessor ended without restoring its rows.
	Incarnation      string `json:"life,omitempty"`
	HistoryFromPeers bool   `json:"vouched,omitempty"`
	// Incarnations are those of the VM that have drawn nothing before the era, or have told in the end what they
	// have used.
	Incarnations []string `json:"lives,omitempty"`
	// Awaits are the incarnations that may have drawn before the era, as far as the VM knows.
	Awaits []string `json:"awaits,omitempty"`
}

func restoredLocation(vm string, era uint64) table.Location {
	return table.Location{Table: tableTokens, Key: prefixRestored + keyInEra(vm, era)}
}

// restoredRows are the rows of all eras, by era and VM.
type restoredRows map[uint64]map[string]restoredRow

// readRestored reads which VMs have restored their rows in which eras.
func (m *Manager) readRestored(ctx context.Context) (restoredRows, error) {
	out := make(restoredRows)
	rows, err := m.readRows(ctx, table.Range{Table: tableTokens, From: prefixRestored, To: endOfRestored})
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

// accountsFor reports whether an era's rows account for everything that an incarnation has drawn
// before.
func (rows restoredRows) accountsFor(era uint64, incarnation string) bool {
	row, ok := rows[era][VMOf(incarnation)]
	return ok && (row.Complete || slices.Contains(row.Incarnations, incarnation))
}

// awaited returns the sorted IDs of the incarnations that an era waits for.
func (rows restoredRows) awaited(era uint64) []string {
	all := make(map[string]bool)
	for _, row := range rows[era] {
		for _, incarnation := range row.Awaits {
			if !rows.accountsFor(era, incarnation) {
				all[incarnation] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// settled reports whether an era waits for no incarnation. At least one incarnation that observed
// the start of the era must have recorded which incarnations ran before.
func (rows restoredRows) settled(era uint64) bool {
	return rows.startObserved(era) && len(rows.awaited(era)) == 0
}

// startObserved reports whether an incarnation that observed the start of an era has recorded which others ran before.
func (rows restoredRows) startObserved(era uint64) bool {
	for _, row := range rows[era] {
		if row.StartObserved {
			return true
		}
	}
	return false
}

// writeRestored writes a VM's record for an era, and removes those for earlier ones.
func (m *Manager) writeRestored(ctx context.Context, vm string, era uint64, row restoredRow, rows restoredRows) error {
	var c table.Commit
	if err := c.SetAt(restoredLocation(vm, era), row); err != nil {
		return fmt.Errorf("record restored rows: %w", err)
	}
	for old, vms := range rows {
		if _, recorded := vms[vm]; recorded && old < era {
			c.RemoveAt(restoredLocation(vm, old))
		}
	}
	stamp, err := m.Commit(ctx, c)
	m.observeStamp(stamp)
	if err == nil && stamp.Era != era {
		err = errEraPassed
	}
	if err != nil {
		return fmt.Errorf("record restored rows: %w", err)
	}
	return nil
}
