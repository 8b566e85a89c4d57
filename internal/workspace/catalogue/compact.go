package catalogue

import (
	"context"
	"encoding/json"
	"fmt"

	"rosevalve/internal/platform/table"
)

const (
	compactedKey          = "config/compacted"
	defaultKeepChanges    = 10_000
	defaultSegmentChanges = 100 // removed in one commit, which has at most table.MaxPuts rows
)

// compactedRow is the row that records how far the change log has been compacted.
type compactedRow struct {
	// Through is the version of the last change that was removed from the table.
	Through uint64 `json:"through"`
}

// SegmentName returns the object name of the archived segment whose first change has
// version after+1.
func SegmentName(after uint64) string {
	return fmt.Sprintf("config/audit/%020d", after)
}

// Compact moves old changes from the table to the archive, one segment at a time.
//
// The row of each command id stays in the table, so that a retry is never mistaken for a
// new command. A router whose version is older than the remaining log finds a gap and
// loads all items instead.
func (c *Catalogue) Compact(ctx context.Context) error {
	keep := c.KeepChanges
	if keep == 0 {
		keep = defaultKeepChanges
	}
	size := c.segmentSize()
	for c.Archive != nil {
		row, rowVersion, err := c.readCompacted(ctx)
		if err != nil {
			return fmt.Errorf("compact change log: %w", err)
		}
		if row.Through+size+keep > c.Current().Version() {
			return nil
		}
		if err := c.compactSegment(ctx, row.Through, rowVersion, size); err != nil {
			return fmt.Errorf("compact change log: %w", err)
		}
	}
	return nil
}

func (c *Catalogue) segmentSize() uint64 {
	if c.segmentChanges != 0 {
		return c.segmentChanges
	}
	return defaultSegmentChanges
}

// compactSegment archives the size changes after the version and removes them from the
// table, if the compacted row still has the table version rowVersion.
func (c *Catalogue) compactSegment(ctx context.Context, after, rowVersion, size uint64) error {
	rows, err := c.Scan(ctx, changePrefix, changeKey(after), int(size))
	if err != nil {
		return err
	}
	changes, err := decodeChanges(rows)
	if err != nil {
		return err
	}
	if uint64(len(changes)) < size || changes[size-1].Version != after+size {
		return fmt.Errorf("change log has fewer than %d consecutive changes after version %d", size, after)
	}
	segment, err := json.Marshal(changes)
	if err != nil {
		return fmt.Errorf("encode segment: %w", err)
	}
	if err := c.Archive(ctx, SegmentName(after), segment); err != nil {
		return err
	}
	var commit table.Commit
	commit.Require(compactedKey, rowVersion)
	if err := commit.Set(compactedKey, compactedRow{Through: after + size}); err != nil {
		return err
	}
	for _, r := range rows {
		commit.Remove(r.Key)
	}
	_, err = c.Commit(ctx, commit)
	return err
}

// readCompacted returns the compacted row and its version in the table.
func (c *Catalogue) readCompacted(ctx context.Context) (compactedRow, uint64, error) {
	rows, err := c.Get(ctx, compactedKey)
	if err != nil || len(rows) == 0 {
		return compactedRow{}, 0, err
	}
	var row compactedRow
	if err := rows[0].Decode(&row); err != nil {
		return compactedRow{}, 0, err
	}
	return row, rows[0].Version, nil
}

// Changes returns at most limit changes after the version from the change log, oldest
// first. Compacted changes are missing.
func (c *Catalogue) Changes(ctx context.Context, after uint64, limit int) ([]Change, error) {
	rows, err := c.Scan(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("read changes: %w", err)
	}
	return decodeChanges(rows)
}

func decodeChanges(rows []table.Row) ([]Change, error) {
	changes := make([]Change, len(rows))
	for i, r := range rows {
		if err := r.Decode(&changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}
