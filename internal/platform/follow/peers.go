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
				t.pull(ctx, h.addr)
			}
		case <-tick.C:
			if t.failing.Load() {
				t.pull(ctx, "")
			}
		}
	}
}

// pull requests the rows that this copy lacks from the router at addr, or from any router if
// addr is empty. A router that is known to have newer rows is asked for all rows, since
// those with newer content may have older versions.
func (t *Table) pull(ctx context.Context, addr string) {
	era, since := t.local.position()
	if addr != "" {
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
	select {
	case t.peerHints <- hint{addr: addr, needed: needed}:
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
