package quarantine

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rosevalve/internal/platform/table"
)

const (
	// minPollInterval is the time between two polls. In a fleet of more than pollsPerSecond routers it
	// is longer, so that all together make that many polls.
	minPollInterval = time.Second
	pollsPerSecond  = 200
	pollPage        = 200 // rows
)

// Poller reads the rows of a store without a change feed and passes on those that have changed.
type Poller struct {
	// Prefix begins the keys of all rows of the quarantine in the store.
	Prefix string
	// Scan reads at most limit rows whose keys begin with prefix and sort after the key after.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// Apply receives the rows that have changed, without the prefix.
	Apply func(rows []table.Row, rolledBack bool)
	// RouterCount returns the number of routers in the fleet.
	RouterCount func() int
	// OnError is called when the rows cannot be read; the next poll tries again.
	OnError func(err error)

	known map[string]uint64 // versions by key, as of the last poll
}

// Run polls until ctx ends. It always returns nil.
func (p *Poller) Run(ctx context.Context) error {
	for {
		if err := p.poll(ctx); err != nil && ctx.Err() == nil {
			p.OnError(err)
		}
		interval := max(minPollInterval, time.Duration(p.RouterCount())*time.Second/pollsPerSecond)
		if !sleep(ctx, interval) {
			return nil
		}
	}
}

// poll reads all rows once.
func (p *Poller) poll(ctx context.Context) error {
	var changed []table.Row
	current := make(map[string]uint64)
	for after := ""; ; {
		rows, err := p.Scan(ctx, p.Prefix, after, pollPage)
		if err != nil {
			return fmt.Errorf("read blocks: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			current[row.Key] = row.Version
			if p.known[row.Key] != row.Version {
				row.Key = strings.TrimPrefix(row.Key, p.Prefix)
				changed = append(changed, row)
			}
		}
		if len(rows) < pollPage {
			break
		}
	}
	for key := range p.known {
		if _, ok := current[key]; !ok {
			changed = append(changed, table.Row{Location: table.Location{Key: strings.TrimPrefix(key, p.Prefix)}, Deleted: true})
		}
	}
	p.known = current
	p.Apply(changed, false)
	return nil
}
