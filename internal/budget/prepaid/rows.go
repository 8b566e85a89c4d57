package prepaid

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rosevalve/internal/budget/amount"
	"rosevalve/internal/platform/table"
)

const (
	tableTokens  = "prepaid"
	tableJournal = "journal"

	// Each row key ends with the store era in which the row was written, so that no commit
	// condition holds because a rolled-back store has reused a version number.
	keyTotal       = "total"
	keyJournal     = "book"
	prefixVM       = "vm/"
	prefixRestored = "restored/"

	eraSeparator    = "@"
	eraSeparatorEnd = "A" // sorts after eraSeparator
	endOfVMs        = "vm0"
	endOfRestored   = "restored0"
	noVersion       = 0 // version of a row that does not exist

	// maxOver is a time within which an incarnation can have used all that it has drawn.
	maxOver = 24 * time.Hour
)

// totalRow records the tokens that all holdings of a workspace have drawn, including what
// closed holdings have used. The sum never exceeds the prepaid total.
type totalRow struct {
	Allotted int64 `json:"allotted"`
	// Base is what was allotted at the begin of the row's era.
	Base int64 `json:"base,omitempty"`
	// Prior bounds the draws of earlier eras; nil if all are accounted for.
	Prior *priorDraws `json:"prior,omitempty"`
	// OpenedAtMS is the time of the store's clock, in milliseconds, at which a router gave notice
	// that the reserve will be drawn; 0 if none has.
	OpenedAtMS int64 `json:"opened_at_ms,omitempty"`
}

// holdingRow records the tokens that one incarnation of a VM has drawn from a workspace's total.
// The row remains when the holding is closed.
type holdingRow struct {
	// Incarnation is the one that has drawn Tokens; empty if the holding is closed.
	Incarnation string `json:"life"`
	// Epoch counts the incarnations of the VM.
	Epoch  int64 `json:"epoch"`
	Tokens int64 `json:"tokens"`
	// ClosedUsage is the number of tokens that closed holdings of the VM have used.
	ClosedUsage int64 `json:"past,omitempty"`
	// IsAssumed is set if the row began in an era before it was known what the VM had drawn earlier;
	// the part Assumed of ClosedUsage is what a copy of the store showed of that.
	IsAssumed bool  `json:"is_assumed,omitempty"`
	Assumed   int64 `json:"assumed,omitempty"`
}

// closed returns the row without a holding, of which the given number of tokens was used.
func (r holdingRow) closed(used int64) holdingRow {
	r.Incarnation, r.Epoch, r.Tokens = "", 0, 0
	r.ClosedUsage += used
	return r
}

// check returns an error if no router can have written the row.
func (r holdingRow) check() error {
	if r.Tokens < 0 || r.ClosedUsage < 0 || r.Assumed < 0 || r.ClosedUsage > math.MaxInt64-r.Tokens {
		return fmt.Errorf("holding of %d tokens and %d used ones is out of range", r.Tokens, r.ClosedUsage)
	}
	return nil
}

// check returns an error if no router can have written the row.
func (r totalRow) check() error {
	if r.Allotted < 0 || r.Base < 0 || r.Prior != nil && (r.Prior.Base < 0 || r.Prior.Known < 0) {
		return fmt.Errorf("total with %d allotted tokens is out of range", r.Allotted)
	}
	return nil
}

// allotted returns the VM's part of the workspace's allotted total.
func (r holdingRow) allotted() int64 { return r.Tokens + r.ClosedUsage }

// journalRow bounds what one incarnation of a VM uses.
type journalRow struct {
	Incarnation string `json:"life"`
	// Epoch counts the incarnations of the VM; each has an epoch one higher than the previous
	// one.
	Epoch int64 `json:"epoch"`
	// Seq numbers the writes of the incarnation, so that one whose answer was lost can be
	// recognised.
	Seq int64 `json:"seq"`
	// Since is the store era in which the incarnation started.
	Since uint64 `json:"since"`
	// Accounted reports whether the incarnation knows everything that its VM has drawn in earlier
	// eras.
	Accounted bool `json:"accounted"`
	// AtMS is an estimate of the store's clock when the row was sent, in milliseconds.
	AtMS int64 `json:"at_ms"`
	// Bounds are the bounds of each workspace from this write on.
	Bounds map[string]Bound `json:"bounds"`
	// Former are the former incarnations of the VM whose holdings are not all closed, by ID.
	Former map[string]formerIncarnation `json:"former,omitempty"`
	// Mirror is the router that has a copy with tighter bounds, and MirrorFrom the first of
	// its notes that counts; empty if there is no mirror.
	Mirror     string `json:"mirror,omitempty"`
	MirrorFrom int64  `json:"mirror_from,omitempty"`
	// Reclaimers are the incarnations of other VMs that may reclaim the holdings, and Firm is the
	// number of tokens of each workspace that may be used without them. More is used only after a
	// quorum of them has kept a replica of the bound. Earlier releases do not count these replicas,
	// so that they must not find the reclaimers under a former name.
	Reclaimers []string         `json:"replicas,omitempty"`
	Firm       map[string]int64 `json:"firm,omitempty"`
	// Lost is the incarnation whose journal a reclaimer has taken over without fencing a quorum; empty if
	// there is none. Seq and Firm are those of its last row then, and what it may yet use stays in its
	// holdings.
	Lost string `json:"lost,omitempty"`
}

// Bound limits what may be used of one holding.
type Bound struct {
	// Tokens may be used immediately.
	Tokens int64 `json:"t"`
	// Rate is the number of further tokens that may be used per second after the grace period.
	Rate int64 `json:"r,omitempty"`
	// ClosedUsage is the number of tokens that closed holdings of the VM have used.
	ClosedUsage int64 `json:"p,omitempty"`
}

// usageBound bounds what an ended incarnation has used.
type usageBound struct {
	Bounds map[string]Bound `json:"bounds"`
	// OverMS is how long the incarnation may have run beyond the grace period, in milliseconds.
	OverMS int64 `json:"over_ms"`
}

// formerIncarnation is what is known of a former incarnation: the bound by its journal, and that by
// its mirror, if the mirror has answered.
type formerIncarnation struct {
	usageBound
	// Epoch counts the incarnations of the VM, and Since is the store era in which this one
	// started.
	Epoch      int64       `json:"epoch"`
	Since      uint64      `json:"since"`
	Mirror     string      `json:"mirror,omitempty"`
	MirrorFrom int64       `json:"mirror_from,omitempty"`
	Mirrored   *usageBound `json:"mirrored,omitempty"`
}

func totalLocation(workspace string, era uint64) table.Location {
	return table.Location{Table: tableTokens, Partition: workspace, Key: keyInEra(keyTotal, era)}
}

func holdingLocation(vm, workspace string, era uint64) table.Location {
	return table.Location{Table: tableTokens, Partition: workspace, Key: keyInEra(prefixVM+vm, era)}
}

func journalLocation(vm string, era uint64) table.Location {
	return table.Location{Table: tableJournal, Partition: vm, Key: keyInEra(keyJournal, era)}
}

// keyInEra returns the key of a row in an era.
func keyInEra(name string, era uint64) string {
	return name + eraSeparator + strconv.FormatUint(era, 10)
}

// splitKey returns the name of a row and its era.
func splitKey(key string) (name string, era uint64, err error) {
	n := strings.LastIndex(key, eraSeparator)
	if n < 0 {
		return "", 0, fmt.Errorf("key %q contains no era", key)
	}
	era, err = strconv.ParseUint(key[n+len(eraSeparator):], 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("parse era of key %q: %w", key, err)
	}
	return key[:n], era, nil
}

// inAllEras returns the range of a named row in all eras.
func inAllEras(at table.Location, name string) table.Range {
	return table.Range{Table: at.Table, Partition: at.Partition, From: name + eraSeparator, To: name + eraSeparatorEnd}
}

// workspaceRows returns the range of all rows of a workspace.
func workspaceRows(workspace string) table.Range {
	return table.Range{Table: tableTokens, Partition: workspace, From: keyTotal, To: endOfVMs}
}

// maxUsed returns the most tokens that a former incarnation can have used of a holding. A
// mirror's copy bounds only the workspaces that it lists.
func (f formerIncarnation) maxUsed(workspace string, drawn int64) int64 {
	used := f.usageBound.maxUsed(workspace, drawn)
	if f.Mirrored == nil {
		return used
	}
	if _, listed := f.Mirrored.Bounds[workspace]; !listed {
		return used
	}
	return min(used, f.Mirrored.maxUsed(workspace, drawn))
}

func (u usageBound) maxUsed(workspace string, drawn int64) int64 {
	b := u.Bounds[workspace]
	if !b.isValid() || u.OverMS < 0 || u.OverMS > maxOver.Milliseconds() {
		return drawn
	}
	return b.limitAfter(drawn, time.Duration(u.OverMS)*time.Millisecond)
}

// mostInMinority returns the most that is used of a holding while one of the reclaimers keeps no
// replica of the bounds. It is an amount and holds at any time.
func (b Bound) mostInMinority() int64 {
	return amount.Add(b.Tokens, amount.FromFloat(float64(b.Rate)*minoritySpan.Seconds()))
}

// isValid reports whether the bound can be one that an incarnation has written.
func (b Bound) isValid() bool { return b.Tokens >= 0 && b.Rate >= 0 && b.ClosedUsage >= 0 }

// limitAfter returns the number of tokens that may be used of a holding at a time after the
// end of the grace period.
func (b Bound) limitAfter(drawn int64, over time.Duration) int64 {
	if over <= 0 {
		return min(b.Tokens, drawn)
	}
	return min(amount.Add(b.Tokens, amount.FromFloat(float64(b.Rate)*over.Seconds())), drawn)
}
