package prepaid

import (
	"time"

	"rosevalve/internal/platform/table"
)

// Event is a change in what an incarnation knows of its tokens.
type Event struct {
	// Kind is the kind of event.
	Kind EventKind
	// Workspace is the workspace concerned; empty if all are.
	Workspace string
	// Tokens is the number of tokens concerned.
	Tokens int64
	// Remaining is the number of tokens left of the workspace's total, according to the most
	// recent row.
	Remaining int64
	// Duration is the duration of a failure or state.
	Duration time.Duration
	// From and To are the previous and the new era and version of the store.
	From, To table.Stamp
	// Workspaces is the number of workspaces whose rows were written.
	Workspaces int
	// Routers is the number of routers that have restored their rows, or that are waited for.
	Routers int
	// Err is the cause of a failure.
	Err error
}

//go:generate ../../../bin/stringer -type=EventKind -linecomment

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// JournalOpened means that this incarnation may spend tokens.
	JournalOpened EventKind = iota // journal_opened
	// JournalFailed means that journal writes have begun to fail.
	JournalFailed // journal_failed
	// JournalRecovered means that a journal write succeeded again; Duration is how long they failed.
	JournalRecovered // journal_regained
	// JournalReplaced means that another incarnation has taken over the journal.
	JournalReplaced // journal_replaced
	// MirrorLost means that calls to the mirror have begun to fail.
	MirrorLost // mirror_lost
	// MirrorRecovered means that a call to a mirror succeeded again.
	MirrorRecovered // mirror_regained
	// MirrorUnresponsive means that the mirror of a former incarnation does not answer.
	MirrorUnresponsive // mirror_silent
	// Drawn means that tokens were drawn from the store.
	Drawn // drawn
	// DrawFailed means that draws have begun to fail.
	DrawFailed // draw_failed
	// StoreEmpty means that the store has fewer tokens left than a draw needs.
	StoreEmpty // store_empty
	// FormerHoldingClosed means that a holding of a former incarnation was closed; Tokens were returned.
	FormerHoldingClosed // former_closed
	// TransferSent means that tokens were transferred to another router.
	TransferSent // gift_given
	// TransferReceived means that tokens were received from other routers.
	TransferReceived // gift_taken
	// HoldingReturned means that free tokens of a holding were returned to the store.
	HoldingReturned // holding_returned
	// HoldingTransferred means that a holding could not be closed and that Tokens of it were
	// transferred to other routers instead.
	HoldingTransferred // holding_left
	// StoreRolledBack means that the store was rolled back to an older copy of itself.
	StoreRolledBack // era_began
	// EraRestored means that this incarnation has migrated the rows of Workspaces to the store's
	// era, which differed by Tokens from the store's, and that Routers are waited for.
	EraRestored // era_restored
	// EraSettled means that tokens may be drawn in the store's era; Duration is how long
	// that took.
	EraSettled // era_settled
	// EraUnsettled means that only tokens that certainly are free can be drawn because routers have not restored their
	// rows for Duration.
	EraUnsettled // era_unsettled
	// JournalReclaimed means that another router has taken over this VM's journal to reclaim its
	// holdings; this process opens it again and draws anew.
	JournalReclaimed // journal_reclaimed
	// HoldingReclaimed means that this router has closed a holding of a lost VM; Tokens were
	// returned to the store.
	HoldingReclaimed // holding_reclaimed
	// ReclaimFailed means that the holdings of a lost VM could not be reclaimed; it is retried.
	ReclaimFailed // reclaim_failed
	// ReplicaFailed means that a reclaimer has not kept a replica of this VM's bounds while its journal
	// can not be written; it is sent again.
	ReplicaFailed // deferral_failed
	// FinalUsageLost means that a reclaimer could not be told what this incarnation has used, which stops.
	FinalUsageLost // final_usage_lost
	// TransferRefused means that another router answered with a number of tokens that it can not have
	// transferred; they are not used.
	TransferRefused // gift_refused
	// RestoreFailed means that this incarnation's rows could not be restored in the store's era;
	// it is retried.
	RestoreFailed // restore_failed
)

// drawOutcome is the outcome of a holding's previous draw.
type drawOutcome int

const (
	drawSucceeded drawOutcome = iota
	drawFoundTooFew
	drawErrored
)

// reportDraw reports when draws begin to fail or to find too few tokens.
func (m *Manager) reportDraw(h *holding, needed int64, err error) {
	outcome := drawSucceeded
	switch {
	case isTooFewLeft(err):
		outcome = drawFoundTooFew
	case err != nil:
		outcome = drawErrored
	}
	h.mu.Lock()
	changed := h.lastDraw != outcome
	h.lastDraw = outcome
	h.mu.Unlock()
	if !changed || outcome == drawSucceeded {
		return
	}
	kind := DrawFailed
	if outcome == drawFoundTooFew {
		kind = StoreEmpty
	}
	m.OnEvent(Event{Kind: kind, Workspace: h.workspace, Tokens: needed, Remaining: m.leftInStore(h), Err: err})
}

// reportJournal reports when journal writes begin to fail and when they succeed again.
func (m *Manager) reportJournal(err error) {
	j := &m.journal
	now := time.Now()
	j.mu.Lock()
	before := j.failingSince
	switch {
	case err == nil:
		j.failingSince = time.Time{}
	case before.IsZero():
		j.failingSince = now
	}
	j.mu.Unlock()
	switch {
	case err != nil && before.IsZero():
		m.OnEvent(Event{Kind: JournalFailed, Err: err})
	case err == nil && !before.IsZero():
		m.OnEvent(Event{Kind: JournalRecovered, Duration: now.Sub(before)})
	}
}
