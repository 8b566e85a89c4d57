package quarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// commitTimeout bounds a commit to the store.
const commitTimeout = 2 * time.Second

// crashPrefix begins the keys of the rows of crashes. Those of blocks are the names of their parts.
const crashPrefix = "crash-"

// Run keeps the blocks and the rows in the store in line with each other until ctx ends. It always
// returns nil.
func (q *Quarantine) Run(ctx context.Context) error {
	q.init()
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			q.maintain(ctx)
		}
	}
}

// maintain ends, renews and writes blocks where that is due.
func (q *Quarantine) maintain(ctx context.Context) {
	now := time.Now()
	var unwritten []inner.BlockRecord
	for _, b := range q.Blocks() {
		switch {
		case b.quiet(now):
			q.endQuiet(b)
		case b.unsaved:
			unwritten = append(unwritten, b.record)
			if q.chosen() {
				q.write(ctx, b)
			}
		case b.needsRenewal(now) && q.chosen():
			record := b.record
			record.Renewals++
			_ = q.rewrite(ctx, b, record)
		}
	}
	if len(unwritten) > 0 {
		q.Broadcast(inner.QuarantineNews{Blocks: unwritten}, gossipPeers)
	}
	for key, r := range q.pendingRemovals() {
		if q.chosen() {
			q.removeRow(ctx, key, r)
		}
	}
	q.removeOldCrashes(ctx)
}

// chosen reports whether this router does what one router has to do. At each check about one router of
// the fleet is chosen at random.
func (q *Quarantine) chosen() bool { return rand.IntN(max(1, q.RouterCount())) == 0 }

func (q *Quarantine) endQuiet(b *Block) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if (*q.blocks.Load())[b.key()] == b {
		q.end(b, reasonQuiet)
	}
}

// writeLater writes the block with the key after a random delay, unless another router does so
// first. The caller holds mu.
func (q *Quarantine) writeLater(key uint64) {
	time.AfterFunc(q.randomDelay(writeDelayPerRouter, maxWriteDelay), func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		if b := (*q.blocks.Load())[key]; b != nil && b.unsaved {
			q.write(ctx, b)
		}
	})
}

// write writes a block to the store, where it may replace the row of the version that the block
// came from.
func (q *Quarantine) write(ctx context.Context, b *Block) { _ = q.rewrite(ctx, b, b.record) }

// rewrite writes a record in place of that of the block, if the row is unchanged.
func (q *Quarantine) rewrite(ctx context.Context, b *Block, record inner.BlockRecord) error {
	loc := q.Locate(PartName(b.key()))
	var c table.Commit
	if err := c.RequireAt(loc, b.version).SetAt(loc, record); err != nil {
		return fmt.Errorf("write block %s: %w", PartName(b.key()), err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	version, err := q.Commit(ctx, c)
	q.mu.Lock()
	defer q.mu.Unlock()
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		q.adopt(b, conflict.Rows)
		return fmt.Errorf("write block %s: %w", PartName(b.key()), err)
	case err != nil:
		q.emit(Event{Kind: WriteFailed, Record: record, Err: err})
		return fmt.Errorf("write block %s: %w", PartName(b.key()), err)
	}
	if (*q.blocks.Load())[b.key()] == b {
		q.put(b.with(record, version, time.Now()))
	}
	return nil
}

// adopt takes the rows over with which the write of a block conflicted. If there is none, another
// router has ended the block. The caller holds mu.
func (q *Quarantine) adopt(b *Block, rows []table.Row) {
	if len(rows) == 0 && (*q.blocks.Load())[b.key()] == b {
		q.end(b, reasonRemoved)
	}
	for _, row := range rows {
		q.applyRow(row)
	}
}

// beginTrial records a trial in the store and reports whether this router is the one that sends it.
func (q *Quarantine) beginTrial(ctx context.Context, b *Block) bool {
	record := b.record
	record.Trials++
	if q.rewrite(ctx, b, record) != nil {
		return false
	}
	q.emit(Event{Kind: TrialSent, Record: record})
	return true
}

// pendingRemovals returns the rows of ended blocks that are to be removed from the store, by key, and
// forgets blocks that ended long ago.
func (q *Quarantine) pendingRemovals() map[string]removal {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, at := range q.ended {
		if time.Since(at) > endedRetention {
			delete(q.ended, key)
		}
	}
	return maps.Clone(q.removals)
}

// removeRow removes a row that is not needed any more, if it is unchanged.
func (q *Quarantine) removeRow(ctx context.Context, key string, r removal) {
	loc := q.Locate(key)
	var c table.Commit
	c.RequireAt(loc, r.version).RemoveAt(loc)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := q.Commit(ctx, c)
	var conflict *table.ConflictError
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil && !errors.As(err, &conflict) {
		q.emit(Event{Kind: WriteFailed, Record: r.record, Reason: key, Err: err})
		return
	}
	if q.removals[key].version == r.version {
		delete(q.removals, key)
	}
	if q.crashRows[key] == r.version {
		delete(q.crashRows, key)
	}
}

// ApplyRows takes over changed rows of the store. rolledBack reports that the store was restored
// from an older copy, which may lack rows that this router knows; it writes those again.
func (q *Quarantine) ApplyRows(rows []table.Row, rolledBack bool) {
	q.init()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, row := range rows {
		if strings.HasPrefix(row.Key, crashPrefix) {
			q.applyCrashRow(row)
			continue
		}
		if !row.Deleted {
			q.applyRow(row)
			continue
		}
		if b := q.findByName(row.Key); b != nil {
			q.applyDeletion(b, rolledBack)
		}
	}
}

// findByName returns the block with the name, or nil. The caller holds mu.
func (q *Quarantine) findByName(name string) *Block {
	for key, b := range *q.blocks.Load() {
		if PartName(key) == name {
			return b
		}
	}
	return nil
}

// applyDeletion handles the removal of a block's row. The caller holds mu.
func (q *Quarantine) applyDeletion(b *Block, rolledBack bool) {
	if !rolledBack {
		q.end(b, reasonRemoved)
		return
	}
	q.put(b.unsavedWith(b.record, 0, b.changedAt))
	q.writeLater(b.key())
}

// applyRow takes over the row of a block. The caller holds mu.
func (q *Quarantine) applyRow(row table.Row) {
	var record inner.BlockRecord
	if err := row.Decode(&record); err != nil || len(record.Parts) == 0 || PartName(record.Parts[0]) != row.Key {
		q.emit(Event{Kind: RowUnreadable, Reason: row.Key, Err: err})
		return
	}
	q.learn(record, row.Version)
}

// learn takes over a block from the store or, with version 0, from another router. The caller holds
// mu.
func (q *Quarantine) learn(record inner.BlockRecord, version uint64) {
	if len(record.Parts) == 0 {
		return
	}
	key := record.Parts[0]
	old, known := (*q.blocks.Load())[key]
	_, ended := q.ended[key]
	switch {
	case known && (version == 0 || version == old.version):
		return
	case known:
		q.put(old.with(record, version, time.Now()))
	case ended && version <= q.removals[PartName(key)].version:
		return
	default:
		q.put(newBlock(record, version, time.Now()))
		q.emit(Event{Kind: BlockLearned, Record: record})
	}
	q.evidence.explain(record.Parts)
}

// sleep waits for a time and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
