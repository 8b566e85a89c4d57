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

	scanPageRows    = 500
	maxLoadAttempts = 5
)

// errGap reports that the change log lacks the changes directly after a version.
var errGap = errors.New("log of changes was compacted")

// Refresh reads the table and installs its newest version.
//
// Concurrent calls need no coordination: each result is exact for its version, and
// install keeps the highest.
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

// readTable returns the newest snapshot in the table. It reads the change log after the
// current version, which takes one page if little has changed, and loads all items if
// there is no current version or the log has a gap.
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

// catchUp returns s with the changes of the change log after its version applied, or
// errGap if the log has been compacted beyond that version.
func (c *Catalogue) catchUp(ctx context.Context, s *Snapshot) (*Snapshot, error) {
	var changes []Change
	last := s.version
	for {
		rows, err := c.Scan(ctx, changePrefix, changeKey(last), scanPageRows)
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
		if len(rows) < scanPageRows {
			return s.withChanges(changes), nil
		}
	}
}

// inSequence reports whether next is the version directly after version.
func (c *Catalogue) inSequence(version, next uint64) bool {
	if c.isSuccessor != nil {
		return c.isSuccessor(version, next)
	}
	return next == version+1
}

// load reads all items and then applies the changes accepted in the meantime.
//
// The scan of the items is not atomic: an item may be newer than the head row read
// before the scan. Applying the change log after that head brings all items to the same
// version. load starts again if the log is compacted during the scan.
func (c *Catalogue) load(ctx context.Context) (*Snapshot, error) {
	var err error
	for range maxLoadAttempts {
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

// tryLoad makes one attempt of load. It returns errGap if the change log has a gap or ends
// below the version of an item.
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
		rows, err := c.Scan(ctx, itemPrefix, after, scanPageRows)
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
		if len(rows) < scanPageRows {
			return items, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// head is the row that holds the current version of the configuration.
type head struct {
	Version uint64 `json:"version"`
}

// readHead returns the head and the version of its row in the table, which differs from
// the version of the configuration. Both are zero before the first change.
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

// changeKey returns the row key of a change. Keys sort in the order of the versions.
func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}
