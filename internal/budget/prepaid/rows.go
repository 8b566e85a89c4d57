package prepaid

import (
	"time"

	"rosevalve/internal/platform/table"
)

const (
	tableTokens  = "prepaid"
	tableJournal = "journal"

	keyTotal  = "total"
	keyBook   = "book"
	prefixVM  = "vm/"
	noVersion = 0 // of a row that does not exist
)

// totalRow is what a workspace's holdings have drawn together, with what those that
// were closed have used. It never exceeds the prepaid total.
type totalRow struct {
	Allotted int64 `json:"allotted"`
}

// holdingRow is what one life of a VM has drawn of a workspace's tokens.
type holdingRow struct {
	Life   string `json:"life"`
	Tokens int64  `json:"tokens"`
}

// journalRow bounds what one life of a VM uses.
type journalRow struct {
	Life string `json:"life"`
	// Seq counts the writes of the life, so that one whose answer was lost can be recognised.
	Seq int64 `json:"seq"`
	// AtMS is the store's clock, as estimated when the row was sent, in milliseconds.
	AtMS int64 `json:"at_ms"`
	// Bounds are the tokens that the life may use of each workspace from this write on.
	Bounds map[string]int64 `json:"bounds"`
	// Former are the ended lives of the VM whose holdings are not all closed.
	Former map[string]formerLife `json:"former,omitempty"`
}

// formerLife is what is known of an ended life.
type formerLife struct {
	Bounds map[string]int64 `json:"bounds"`
	// Released is the share of each holding beyond its bound that may have been used too.
	Released float64 `json:"released"`
}

func totalPlace(workspace string) table.Place {
	return table.Place{Table: tableTokens, Partition: workspace, Key: keyTotal}
}

func (p *Purse) holdingPlace(workspace string) table.Place {
	return table.Place{Table: tableTokens, Partition: workspace, Key: prefixVM + p.VM}
}

func (p *Purse) journalPlace() table.Place {
	return table.Place{Table: tableJournal, Partition: p.VM, Key: keyBook}
}

// used bounds what an ended life has used of a holding.
func (f formerLife) used(workspace string, drawn int64) int64 {
	bound := min(f.Bounds[workspace], drawn)
	return bound + int64(f.Released*float64(drawn-bound)+1)
}

// released returns the share of a holding beyond its bound that may be used when
// nothing has been written for that long.
func released(sinceWrite, grace, spread time.Duration) float64 {
	share := float64(sinceWrite-grace) / float64(spread)
	return max(0, min(share, 1))
}
