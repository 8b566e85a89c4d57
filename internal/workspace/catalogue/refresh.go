package catalogue

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	headKey       = "config/head"
	itemPrefix    = "config/item/"
	changePrefix  = "config/change/"
	commandPrefix = "config/command/"

	scanRows = 500
	maxLoads = 5
)

// errGap reports that the log of changes no longer reaches back to a version.
var errGap = errors.New("log of changes was compacted")

// Refresh takes over the changes that the table has accepted so far.
//
// Its reads may be slow and cross those of another refresh: each result is exact
// at its version, and install keeps the highest.
func (c *Catalogue) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	next, err := c.readTable(ctx)
	if err != nil {
		return fmt.Errorf("refresh configuration: %w", err)
	}
	c.install(next)
	return nil
}

// readTable returns the newest snapshot; it reads one page of the log if little has changed.
func (c *Catalogue) readTable(ctx context.Context) (*Snapshot, error) {
	if !c.loaded.Load() {
		return c.load(ctx)
	}
	next, err := c.catchUp(ctx, c.Current())
	if errors.Is(err, errGap) {
		return c.load(ctx)
	}
	return next, err
}

// catchUp applies the log of changes behind the snapshot.
func (c *Catalogue) catchUp(ctx context.Context, s *Snapshot) (*Snapshot, error) {
	var changes []Change
	last := s.version
	for {
		rows, err := c.Scan(ctx, changePrefix, changeKey(last), scanRows)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			var ch Change
			if err := r.Decode(&ch); err != nil {
				return nil, err
			}
			if !c.inSequence(last, ch.Version) {
				return nil, errGap
			}
			changes = append(changes, ch)
			last = ch.Version
		}
		if len(rows) < scanRows {
			return s.with(changes), nil
		}
	}
}

func (c *Catalogue) inSequence(version, next uint64) bool {
	if c.follows != nil {
		return c.follows(version, next)
	}
	return next == version+1
}

// load reads every item, then the changes accepted since it began.
//
// The items are not read at one instant: each is as of some version from that of
// the first head on, and the log behind that version brings all to the last one.
func (c *Catalogue) load(ctx context.Context) (*Snapshot, error) {
	var err error
	for range maxLoads {
		var s *Snapshot
		s, err = c.tryLoad(ctx)
		if err == nil {
			return s, nil
		}
		if !errors.Is(err, errGap) {
			break
		}
	}
	return nil, err
}

func (c *Catalogue) tryLoad(ctx context.Context) (*Snapshot, error) {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	items, err := c.scanItems(ctx)
	if err != nil {
		return nil, err
	}
	s, err := c.catchUp(ctx, newSnapshot(h.Version, items))
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		if item.Version > s.version {
			return nil, errGap
		}
	}
	return s, nil
}

func (c *Catalogue) scanItems(ctx context.Context) ([]Item, error) {
	var items []Item
	after := ""
	for {
		rows, err := c.Scan(ctx, itemPrefix, after, scanRows)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			var item Item
			if err := r.Decode(&item); err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(rows) < scanRows {
			return items, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// head is the row with the version of the newest change.
type head struct {
	Version uint64 `json:"version"`
}

// readHead returns the head and the table's version of its row.
func (c *Catalogue) readHead(ctx context.Context) (head, uint64, error) {
	rows, err := c.Get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head{}, 0, err
	}
	return decodeHead(rows[0])
}

func decodeHead(r table.Row) (head, uint64, error) {
	var h head
	if err := r.Decode(&h); err != nil {
		return head{}, 0, err
	}
	return h, r.Version, nil
}

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}
