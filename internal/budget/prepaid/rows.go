package prepaid

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosevalve/internal/platform/table"
)

const (
	tableTokens  = "prepaid"
	tableJournal = "journal"

	// The keys of rows end with the era of the store in which they were written, so that no
	// condition holds by a version that was given out again.
	keyTotal       = "total"
	keyBook        = "book"
	prefixVM       = "vm/"
	prefixRestored = "restored/"

	eraMark      = "@"
	afterEraMark = "A" // sorts behind it
	afterVMs     = "vm0"
	afterStored  = "restored0"
	noVersion    = 0 // of a row that does not exist
)

// totalRow is what a workspace's holdings have drawn together, with what those that
// were closed have used. It never exceeds the prepaid total.
type totalRow struct {
	Allotted int64 `json:"allotted"`
}

// holdingRow is what one life of a VM has drawn of a workspace's tokens. It stays when the
// holding is closed.
type holdingRow struct {
	// Life has drawn Tokens; it is empty if the holding is closed.
	Life string `json:"life"`
	// Epoch counts the lives of the VM.
	Epoch  int64 `json:"epoch"`
	Tokens int64 `json:"tokens"`
	// Past is what closed holdings of the VM have used.
	Past int64 `json:"past,omitempty"`
}

// counted returns the VM's part of what the workspace's total says is allotted.
func (r holdingRow) counted() int64 { return r.Tokens + r.Past }

// journalRow bounds what one life of a VM uses.
type journalRow struct {
	Life string `json:"life"`
	// Epoch counts the lives of the VM; each is one higher than the one before.
	Epoch int64 `json:"epoch"`
	// Seq counts the writes of the life, so that one whose answer was lost can be recognised.
	Seq int64 `json:"seq"`
	// Since is the store's era in which the life began.
	Since uint64 `json:"since"`
	// Accounted tells that the life knows all that its VM has drawn in earlier eras.
	Accounted bool `json:"accounted"`
	// AtMS is the store's clock, as estimated when the row was sent, in milliseconds.
	AtMS int64 `json:"at_ms"`
	// Bounds are the tokens that the life may use of each workspace from this write on.
	Bounds map[string]Bound `json:"bounds"`
	// Former are the ended lives of the VM whose holdings are not all closed.
	Former map[string]formerLife `json:"former,omitempty"`
	// Mirror is the router that has a copy with closer bounds, and MirrorFrom the first of
	// its notes that counts; empty if there is none.
	Mirror     string `json:"mirror,omitempty"`
	MirrorFrom int64  `json:"mirror_from,omitempty"`
}

// Bound is what may be used of one holding.
type Bound struct {
	// Tokens may be used at once.
	Tokens int64 `json:"t"`
	// Rate is how many more may be used each second once the grace is over.
	Rate int64 `json:"r,omitempty"`
	// Past is what closed holdings of the VM have used.
	Past int64 `json:"p,omitempty"`
}

// claim bounds what an ended life has used.
type claim struct {
	Bounds map[string]Bound `json:"bounds"`
	// OverMS is how long after the grace the life may have gone on, in milliseconds.
	OverMS int64 `json:"over_ms"`
}

// formerLife is what is known of an ended life: the claim of its journal, and that of its
// mirror, if it has answered.
type formerLife struct {
	claim
	// Epoch counts the lives of the VM, and Since is the store's era in which this one began.
	Epoch      int64  `json:"epoch"`
	Since      uint64 `json:"since"`
	Mirror     string `json:"mirror,omitempty"`
	MirrorFrom int64  `json:"mirror_from,omitempty"`
	Mirrored   *claim `json:"mirrored,omitempty"`
}

func totalPlace(workspace string, era uint64) table.Place {
	return table.Place{Table: tableTokens, Partition: workspace, Key: keyIn(keyTotal, era)}
}

func (p *Purse) holdingPlace(workspace string, era uint64) table.Place {
	return table.Place{Table: tableTokens, Partition: workspace, Key: keyIn(prefixVM+p.VM, era)}
}

func (p *Purse) journalPlace(era uint64) table.Place {
	return table.Place{Table: tableJournal, Partition: p.VM, Key: keyIn(keyBook, era)}
}

// keyIn returns the key of a row in an era.
func keyIn(name string, era uint64) string {
	return name + eraMark + strconv.FormatUint(era, 10)
}

// splitKey returns the name of a row and its era.
func splitKey(key string) (name string, era uint64, err error) {
	n := strings.LastIndex(key, eraMark)
	if n < 0 {
		return "", 0, fmt.Errorf("key %q names no era", key)
	}
	era, err = strconv.ParseUint(key[n+len(eraMark):], 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("era of key %q: %w", key, err)
	}
	return key[:n], era, nil
}

// inAllEras names the rows that a place's name has in any era.
func inAllEras(at table.Place, name string) table.Range {
	return table.Range{Table: at.Table, Partition: at.Partition, From: name + eraMark, To: name + afterEraMark}
}

// allRows names the rows of a workspace.
func allRows(workspace string) table.Range {
	return table.Range{Table: tableTokens, Partition: workspace, From: keyTotal, To: afterVMs}
}

// used bounds what an ended life has used of a holding. A mirror says nothing about a
// workspace that it was not told of.
func (f formerLife) used(workspace string, drawn int64) int64 {
	used := f.claim.used(workspace, drawn)
	if f.Mirrored == nil {
		return used
	}
	if _, named := f.Mirrored.Bounds[workspace]; !named {
		return used
	}
	return min(used, f.Mirrored.used(workspace, drawn))
}

func (c claim) used(workspace string, drawn int64) int64 {
	return c.Bounds[workspace].after(drawn, time.Duration(c.OverMS)*time.Millisecond)
}

// after returns what may be used of a holding that long after the end of the grace.
func (b Bound) after(drawn int64, over time.Duration) int64 {
	if over <= 0 {
		return min(b.Tokens, drawn)
	}
	return min(b.Tokens+int64(float64(b.Rate)*over.Seconds()), drawn)
}
