package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	headKey       = "config/head"
	itemPrefix    = "config/item/"
	changePrefix  = "config/change/"
	commandPrefix = "config/command/"

	scanRows            = 500
	maxTries            = 8
	defaultPollInterval = time.Second
)

// ErrRaced reports that another change was accepted first.
var ErrRaced = errors.New("configuration changed meanwhile")

// head is the row with the version of the newest change.
type head struct {
	Version uint64 `json:"version"`
}

// Change is one accepted command: what it changed, when and by whom.
type Change struct {
	Version   uint64    `json:"version"`
	CommandID string    `json:"command_id"`
	Operator  string    `json:"operator"`
	Command   string    `json:"command"`
	At        time.Time `json:"at"`
	Items     []Item    `json:"items"`
}

// commandRow records that a command id has been accepted.
type commandRow struct {
	Version uint64 `json:"version"`
}

// Catalogue keeps the newest snapshot that this router has seen.
type Catalogue struct {
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Scan reads rows with a prefix from the table.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// PollInterval is the time between looks at the newest version.
	PollInterval time.Duration
	// OnChange is told of each snapshot that comes into force.
	OnChange func(s *Snapshot)
	// OnError is told of failed refreshes, which are tried again.
	OnError func(err error)

	refreshing sync.Mutex // serialises refreshes
	loaded     atomic.Bool
	current    atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force.
func (c *Catalogue) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return emptySnapshot()
}

// Ready reports whether the table has been read.
func (c *Catalogue) Ready() bool { return c.loaded.Load() }

// Run refreshes the snapshot until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	interval := c.PollInterval
	if interval == 0 {
		interval = defaultPollInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := c.Refresh(ctx); err != nil && c.OnError != nil {
			c.OnError(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Refresh takes over the changes that were accepted since the snapshot in force.
func (c *Catalogue) Refresh(ctx context.Context) error {
	c.refreshing.Lock()
	defer c.refreshing.Unlock()
	h, _, err := c.readHead(ctx)
	if err != nil {
		return fmt.Errorf("refresh configuration: %w", err)
	}
	if !c.loaded.Load() {
		err = c.load(ctx, h.Version)
	} else if h.Version > c.Current().Version() {
		err = c.catchUp(ctx)
	}
	if err != nil {
		return fmt.Errorf("refresh configuration: %w", err)
	}
	c.loaded.Store(true)
	return nil
}

// load reads every item; an item newer than the version arrives early, which does no harm.
func (c *Catalogue) load(ctx context.Context, version uint64) error {
	var items []Item
	after := ""
	for {
		rows, err := c.Scan(ctx, itemPrefix, after, scanRows)
		if err != nil {
			return err
		}
		for _, r := range rows {
			var item Item
			if err := r.Decode(&item); err != nil {
				return err
			}
			items = append(items, item)
		}
		if len(rows) < scanRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	return c.install(version, items)
}

// catchUp reads the changes behind the snapshot in force.
func (c *Catalogue) catchUp(ctx context.Context) error {
	for {
		rows, err := c.Scan(ctx, changePrefix, changeKey(c.Current().Version()), scanRows)
		if err != nil {
			return err
		}
		for _, r := range rows {
			var ch Change
			if err := r.Decode(&ch); err != nil {
				return err
			}
			if err := c.install(ch.Version, ch.Items); err != nil {
				return err
			}
		}
		if len(rows) < scanRows {
			return nil
		}
	}
}

func (c *Catalogue) install(version uint64, items []Item) error {
	next, err := c.Current().with(version, items)
	if err != nil {
		return err
	}
	c.current.Store(next)
	if c.OnChange != nil {
		c.OnChange(next)
	}
	return nil
}

// Accept commits the change and returns its version; a command id that was accepted before changes nothing.
//
// The error is ErrRaced if the configuration is no longer at the base version.
func (c *Catalogue) Accept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	var lastErr error
	for range maxTries {
		version, err := c.tryAccept(ctx, base, ch)
		if err == nil {
			return version, nil
		}
		lastErr = err
		if !errors.Is(err, table.ErrUnknownOutcome) {
			break
		}
	}
	return 0, fmt.Errorf("accept change: %w", lastErr)
}

func (c *Catalogue) tryAccept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	h, headVersion, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	done, found, err := c.accepted(ctx, ch.CommandID)
	if err != nil || found {
		return done, err
	}
	if h.Version != base {
		return 0, fmt.Errorf("at version %d, not %d: %w", h.Version, base, ErrRaced)
	}
	ch.Version = base + 1
	commit, err := changeCommit(headVersion, ch)
	if err != nil {
		return 0, err
	}
	_, err = c.Commit(ctx, commit)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return 0, fmt.Errorf("%w: %w", ErrRaced, err)
	}
	if err != nil {
		return 0, err
	}
	return ch.Version, nil
}

// accepted returns the version that the command id made, if it was accepted.
func (c *Catalogue) accepted(ctx context.Context, commandID string) (uint64, bool, error) {
	rows, err := c.Get(ctx, commandPrefix+commandID)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err := rows[0].Decode(&row); err != nil {
		return 0, false, err
	}
	return row.Version, true, nil
}

// changeCommit builds the commit of a change whose version is set.
func changeCommit(headVersion uint64, ch Change) (table.Commit, error) {
	var c table.Commit
	c.Require(headKey, headVersion)
	c.Require(commandPrefix+ch.CommandID, 0)
	for i := range ch.Items {
		item := &ch.Items[i]
		if !validName(item.Name) {
			return c, fmt.Errorf("%s name %q has a slash, a space or a quote", item.Kind, item.Name)
		}
		item.Version = ch.Version
		if err := c.Set(itemPrefix+item.Kind+"/"+item.Name, item); err != nil {
			return c, err
		}
	}
	if err := c.Set(headKey, head{Version: ch.Version}); err != nil {
		return c, err
	}
	if err := c.Set(commandPrefix+ch.CommandID, commandRow{Version: ch.Version}); err != nil {
		return c, err
	}
	if err := c.Set(changeKey(ch.Version), ch); err != nil {
		return c, err
	}
	return c, nil
}

func (c *Catalogue) readHead(ctx context.Context) (head, uint64, error) {
	rows, err := c.Get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head{}, 0, err
	}
	var h head
	if err := rows[0].Decode(&h); err != nil {
		return head{}, 0, err
	}
	return h, rows[0].Version, nil
}

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

// NewItem returns an item of the kind with the JSON encoding of the value.
func NewItem(kind Kind, name string, value any) (Item, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return Item{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Item{Kind: kind.String(), Name: name, Value: b}, nil
}
