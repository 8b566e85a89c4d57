package follow

import (
	"context"
	"time"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// peerPollInterval is the time between requests to other routers while the store fails.
const peerPollInterval = 250 * time.Millisecond

// hint names a router that has newer rows.
type hint struct {
	addr string
	// needed reports whether this router still lacks them.
	needed func() bool
	// whole requests all rows rather than those that changed after the position of the copy.
	whole bool
}

// pollPeers requests rows from other routers periodically while the store fails, and at once
// from a router that is known to have newer ones.
func (t *Table) pollPeers(ctx context.Context) {
	tick := time.NewTicker(peerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-t.peerHints:
			if h.needed() {
				t.pull(ctx, h.addr, h.whole)
			}
		case <-tick.C:
			if t.failing.Load() {
				t.pull(ctx, "", false)
			}
		}
	}
}

// pull requests the rows that this copy lacks from the router at addr, or from any router if
// addr is empty. If whole is set, it requests all rows, since those with newer content may have older
// versions.
func (t *Table) pull(ctx context.Context, addr string, whole bool) {
	era, since := t.local.position()
	if whole {
		since = 0
	}
	transfer := table.NewTransfer()
	out, err := t.RequestRows(ctx, addr, inner.FollowRequest{Table: t.Name, Era: era, Since: since, Packing: inner.PackingDeflate})
	if err != nil || out.Version == 0 {
		// The next tick asks another router.
		return
	}
	transfer.MarkHeader()
	rows := make([]table.Row, len(out.Rows))
	for i, r := range out.Rows {
		transfer.AddBytes(len(r.Value))
		value, err := unpack(r)
		if err != nil {
			t.reportUnpackable(transfer, err)
			return
		}
		rows[i] = table.Row{
			Location: table.Location{Table: t.Name, Key: r.Key},
			Version:  r.Version, Value: value, Deleted: r.Deleted,
		}
	}
	transfer.MarkComplete()
	t.merge(change{era: out.Era, version: out.Version, rows: rows, snapshot: out.Whole}, Source{FromPeer: true, Transfer: transfer})
}

// reportUnpackable passes an answer of another router whose rows can't be unpacked to OnTransfer.
func (t *Table) reportUnpackable(transfer *table.Transfer, err error) {
	if t.OnTransfer != nil {
		t.OnTransfer(Result{Source: Source{FromPeer: true, Transfer: transfer}, Err: err})
	}
}

// HintPeer records that the router at addr has newer rows, which are then requested from it if they are still needed.
// At most one router is pending; it drops addr if there is one already.
func (t *Table) HintPeer(addr string, needed func() bool) {
	t.hint(hint{addr: addr, needed: needed, whole: true})
}

// HintPosition records that the router at addr has a row with a version of an era. The changes are requested from it if
// this copy does not reach there yet; like HintPeer, it drops addr if another router is pending.
func (t *Table) HintPosition(addr string, era, version uint64) {
	lacks := func() bool {
		myEra, mine := t.local.position()
		return era > myEra || era == myEra && version > mine
	}
	if lacks() {
		t.hint(hint{addr: addr, needed: lacks})
	}
}

// hint adds a router to the pending ones unless there is one already.
func (t *Table) hint(h hint) {
	select {
	case t.peerHints <- h:
	default:
	}
}

// ChangesSince returns the rows that changed after the position of the requesting router. It packs large values if
// that router can unpack them.
func (t *Table) ChangesSince(in inner.FollowRequest) inner.FollowResponse {
	out := t.local.changesSince(in.Era, in.Since)
	if in.Packing != inner.PackingDeflate {
		return out
	}
	for i := range out.Rows {
		t.packed.pack(&out.Rows[i], out.Era)
	}
	return out
}
