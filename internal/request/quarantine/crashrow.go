package quarantine

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/balance"
)

// Crashes that no block explains yet are kept in the store too, so that a fleet whose routers all
// lose power does not start to count anew. One router writes the row of a crash, after all have told
// each other what they know.

// key returns the key of the crash's row. Routers agree on it if the incarnation is known.
func (c *crashRecord) key() string {
	id := c.addr + "|" + c.incarnation
	if c.incarnation == "" {
		id += c.at.UTC().String()
	}
	return crashPrefix + PartName(balance.Hash(id))
}

// writeCrashLater writes the row of a crash after a random delay, unless another router does so
// first. The caller holds mu.
func (q *Quarantine) writeCrashLater(c *crashRecord) {
	time.AfterFunc(q.randomDelay(writeDelayPerRouter, maxWriteDelay), func() {
		q.mu.Lock()
		written, report, key := c.rowVersion > 0 || c.explained || len(c.prompts) == 0, c.report(), c.key()
		q.mu.Unlock()
		if !written {
			q.writeCrash(c, report, key)
		}
	})
}

func (q *Quarantine) writeCrash(c *crashRecord, report inner.CrashReport, key string) {
	loc := q.Locate(key)
	var commit table.Commit
	err := commit.RequireAt(loc, 0).SetAt(loc, report)
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var version uint64
	if err == nil {
		version, err = q.Commit(ctx, commit)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	var conflict *table.ConflictError
	switch {
	case err == nil:
		c.rowVersion = version
		q.crashRows[key] = version
	case !errors.As(err, &conflict):
		// The other routers remember the crash too.
		q.emit(Event{Kind: WriteFailed, Reason: key, Err: err})
	}
}

// applyCrashRow takes over the row of a crash. The caller holds mu.
func (q *Quarantine) applyCrashRow(row table.Row) {
	if row.Deleted {
		delete(q.crashRows, row.Key)
		return
	}
	if q.crashRows[row.Key] == row.Version {
		return
	}
	var report inner.CrashReport
	if err := row.Decode(&report); err != nil {
		q.emit(Event{Kind: RowUnreadable, Reason: row.Key, Err: err})
		return
	}
	q.crashRows[row.Key] = row.Version
	if c := q.evidence.findCrash(report.At, &report); c != nil {
		// Its parts may have been cleared here since the row was written.
		c.rowVersion = row.Version
		return
	}
	c, _ := q.evidence.add(time.Now(), &report)
	c.rowVersion = row.Version
	q.judgeLater(c)
}

// removeOldCrashes removes the rows of crashes that say nothing more: those that a block explains,
// whose suspects were cleared, or that are too old.
func (q *Quarantine) removeOldCrashes(ctx context.Context) {
	if !q.chosen() {
		return
	}
	q.mu.Lock()
	old := maps.Clone(q.crashRows)
	q.evidence.trim(time.Now())
	for _, c := range q.evidence.crashes {
		if !c.explained {
			delete(old, c.key())
		}
	}
	q.mu.Unlock()
	for key, version := range old {
		q.removeRow(ctx, key, removal{version: version})
	}
}
