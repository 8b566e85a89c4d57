package prepaid

import (
	"time"

	"rosevalve/internal/platform/table"
)

// Event is a change of what a life believes about its tokens.
type Event struct {
	// Kind says what has happened.
	Kind EventKind
	// Workspace is whose tokens it is about; empty if about all.
	Workspace string
	// Tokens is how many.
	Tokens int64
	// Left is what the store has left of the workspace's total, as last seen.
	Left int64
	// Away is how long something has failed or lasted.
	Away time.Duration
	// From and To are what was and what is known of the store's era and version.
	From, To table.Stamp
	// Workspaces is how many workspaces' rows were written.
	Workspaces int
	// Routers is how many routers have told of their rows, or are waited for.
	Routers int
	// Err is the cause of a failure.
	Err error
}

//go:generate ../../../bin/stringer -type=EventKind -linecomment

// EventKind says what has happened to tokens.
type EventKind int

// The kinds of events.
const (
	// JournalOpened tells that this life may spend.
	JournalOpened EventKind = iota // journal_opened
	// JournalFailed tells that the journal can not be written from now on.
	JournalFailed // journal_failed
	// JournalRegained tells that the journal is written again, after the time Away.
	JournalRegained // journal_regained
	// JournalReplaced tells that another life has taken the journal over.
	JournalReplaced // journal_replaced
	// MirrorLost tells that the router with the copy of the journal can not be told more.
	MirrorLost // mirror_lost
	// MirrorRegained tells that a mirror is told again.
	MirrorRegained // mirror_regained
	// MirrorSilent tells that the mirror of an ended life does not answer.
	MirrorSilent // mirror_silent
	// Drawn tells that tokens were drawn from the store.
	Drawn // drawn
	// DrawFailed tells that no tokens can be drawn from now on.
	DrawFailed // draw_failed
	// StoreEmpty tells that the store has fewer tokens left than a draw needs.
	StoreEmpty // store_empty
	// FormerClosed tells that a holding of an ended life was closed; Tokens came back.
	FormerClosed // former_closed
	// GiftGiven tells that tokens went to another router.
	GiftGiven // gift_given
	// GiftTaken tells that tokens came from other routers.
	GiftTaken // gift_taken
	// HoldingReturned tells that free tokens of a holding went back to the store.
	HoldingReturned // holding_returned
	// HoldingLeft tells that a holding could not be closed and went to other routers;
	// Tokens were taken by them.
	HoldingLeft // holding_left
	// EraBegan tells that the store has come back from an older copy of itself.
	EraBegan // era_began
	// EraRestored tells that this life has brought the rows of Workspaces into the store's era,
	// which differed by Tokens from what the store showed, and waits for Routers.
	EraRestored // era_restored
	// EraSettled tells that tokens may be drawn in the store's era, after the time Away.
	EraSettled // era_settled
	// EraUnsettled tells that no tokens can be drawn since routers have not told of their rows
	// for the time Away.
	EraUnsettled // era_unsettled
	// RestoreFailed tells that this life's rows could not be brought into the store's era;
	// it is tried again.
	RestoreFailed // restore_failed
)

// drawState is how the last draw of a holding has ended.
type drawState int

const (
	drawWell drawState = iota
	drawEmpty
	drawFailing
)

// noteDraw tells that draws have begun to fail, or to find too few tokens.
func (p *Purse) noteDraw(h *holding, wanted int64, err error) {
	state := drawWell
	switch {
	case isExhausted(err):
		state = drawEmpty
	case err != nil:
		state = drawFailing
	}
	h.mu.Lock()
	changed := h.drawing != state
	h.drawing = state
	h.mu.Unlock()
	if !changed || state == drawWell {
		return
	}
	kind := DrawFailed
	if state == drawEmpty {
		kind = StoreEmpty
	}
	p.OnEvent(Event{Kind: kind, Workspace: h.workspace, Tokens: wanted, Left: p.left(h), Err: err})
}

// noteJournal tells that writes of the journal have begun to fail, or to go well again.
func (p *Purse) noteJournal(err error) {
	j := &p.journal
	now := time.Now()
	j.mu.Lock()
	before := j.failedAt
	switch {
	case err == nil:
		j.failedAt = time.Time{}
	case before.IsZero():
		j.failedAt = now
	}
	j.mu.Unlock()
	switch {
	case err != nil && before.IsZero():
		p.OnEvent(Event{Kind: JournalFailed, Err: err})
	case err == nil && !before.IsZero():
		p.OnEvent(Event{Kind: JournalRegained, Away: now.Sub(before)})
	}
}
