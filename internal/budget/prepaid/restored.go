package prepaid

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rosevalve/internal/platform/table"
)

// restoredRow is what the newest life of a VM tells of an era that began while routers ran.
type restoredRow struct {
	// Whole tells that all that the VM has drawn stands in the era. It is told by lives that
	// know what came before.
	Whole bool `json:"whole,omitempty"`
	// Witness tells that the life ran before the era, so that Awaits are all that it knew.
	Witness bool `json:"witness,omitempty"`
	// Life is the one that tells so. Vouched tells that it knows from others, since the life
	// before it has ended without telling.
	Life    string `json:"life,omitempty"`
	Vouched bool   `json:"vouched,omitempty"`
	// Lives are lives of the VM that have drawn nothing before the era.
	Lives []string `json:"lives,omitempty"`
	// Awaits are the lives that may have drawn before the era, as far as the VM knows.
	Awaits []string `json:"awaits,omitempty"`
}

func (p *Purse) restoredPlace(era uint64) table.Place {
	return table.Place{Table: tableTokens, Key: prefixRestored + keyIn(p.VM, era)}
}

// restoredRows are the rows of all eras, by era and VM.
type restoredRows map[uint64]map[string]restoredRow

// readRestored reads which VMs have brought their rows into which era.
func (p *Purse) readRestored(ctx context.Context) (restoredRows, error) {
	out := make(restoredRows)
	rows, err := p.readRows(ctx, table.Range{Table: tableTokens, From: prefixRestored, To: afterStored})
	if err != nil {
		return nil, fmt.Errorf("read restored VMs: %w", err)
	}
	for _, row := range rows {
		if err := out.take(row); err != nil {
			return nil, fmt.Errorf("read restored VMs: %w", err)
		}
	}
	return out, nil
}

func (rows restoredRows) take(row table.Row) error {
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

// accounts reports whether it is told in an era what a life has drawn before.
func (rows restoredRows) accounts(era uint64, life string) bool {
	row, ok := rows[era][vmOf(life)]
	return ok && (row.Whole || slices.Contains(row.Lives, life))
}

// awaited returns the lives that are waited for in an era, in order.
func (rows restoredRows) awaited(era uint64) []string {
	all := make(map[string]bool)
	for _, row := range rows[era] {
		for _, life := range row.Awaits {
			if !rows.accounts(era, life) {
				all[life] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// settled reports whether nobody is waited for in an era. At least one life must have told
// who ran before.
func (rows restoredRows) settled(era uint64) bool {
	witnessed := false
	for _, row := range rows[era] {
		witnessed = witnessed || row.Witness
	}
	return witnessed && len(rows.awaited(era)) == 0
}

// tellRestored writes what this VM tells of an era, in place of what it told of earlier ones.
func (p *Purse) tellRestored(ctx context.Context, era uint64, row restoredRow, rows restoredRows) error {
	var c table.Commit
	if err := c.SetAt(p.restoredPlace(era), row); err != nil {
		return fmt.Errorf("tell that rows stand in the era: %w", err)
	}
	for old, vms := range rows {
		if _, told := vms[p.VM]; told && old < era {
			c.RemoveAt(p.restoredPlace(old))
		}
	}
	stamp, err := p.Commit(ctx, c)
	p.hear(stamp)
	if err == nil && stamp.Era != era {
		err = errEraPassed
	}
	if err != nil {
		return fmt.Errorf("tell that rows stand in the era: %w", err)
	}
	return nil
}
