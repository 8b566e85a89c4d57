package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	claimPrefix = "claim/"
	maxTries    = 8
)

// ErrInDoubt reports that the call was claimed before and its outcome is not stored.
var ErrInDoubt = errors.New("call claimed before and outcome not stored")

// ErrDifferentCall reports that the key was claimed by a call with another body.
var ErrDifferentCall = errors.New("key claimed by a different call")

// Row is the claim of one call.
type Row struct {
	RunID    string    `json:"run_id"`
	BodyHash uint64    `json:"body_hash"`
	At       time.Time `json:"at"`
	Outcome  *Outcome  `json:"outcome,omitempty"`
}

// Outcome is the stored answer of a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Registry makes claims in the table.
type Registry struct {
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
}

// Key is the table key of a claim.
func Key(workspace, service, requestKey string) string {
	return claimPrefix + workspace + "/" + service + "/" + requestKey
}

// Acquire claims the call for the run. It returns the stored outcome if the call
// has run before, and nil if the caller may run it now.
//
// Errors are ErrInDoubt, ErrDifferentCall and those of the table; after any
// error the call must not run.
func (g *Registry) Acquire(ctx context.Context, key string, row Row) (*Outcome, error) {
	var lastErr error
	for range maxTries {
		var c table.Commit
		c.Require(key, 0)
		if err := c.Set(key, row); err != nil {
			return nil, fmt.Errorf("claim call: %w", err)
		}
		_, err := g.Commit(ctx, c)
		if err == nil {
			return nil, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) && len(conflict.Rows) == 1 {
			return existing(conflict.Rows[0], row)
		}
		if !errors.Is(err, table.ErrUnknownOutcome) {
			return nil, fmt.Errorf("claim call: %w", err)
		}
		lastErr = err
	}
	return nil, fmt.Errorf("claim call: %w", lastErr)
}

// existing resolves a conflict with a claim that is already in the table.
func existing(found table.Row, mine Row) (*Outcome, error) {
	var theirs Row
	if err := found.Decode(&theirs); err != nil {
		return nil, fmt.Errorf("claim call: %w", err)
	}
	if theirs.BodyHash != mine.BodyHash {
		return nil, ErrDifferentCall
	}
	if theirs.RunID == mine.RunID {
		return nil, nil
	}
	if theirs.Outcome == nil {
		return nil, ErrInDoubt
	}
	return theirs.Outcome, nil
}

// Release removes the claim of a call that provably did not run.
func (g *Registry) Release(ctx context.Context, key string, row Row) error {
	return g.resolve(ctx, key, row, nil)
}

// Store records the outcome of the call.
func (g *Registry) Store(ctx context.Context, key string, row Row, outcome Outcome) error {
	return g.resolve(ctx, key, row, &outcome)
}

// resolve replaces the run's own claim by its outcome, or removes it.
func (g *Registry) resolve(ctx context.Context, key string, row Row, outcome *Outcome) error {
	var lastErr error
	for range maxTries {
		rows, err := g.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("resolve claim: %w", err)
		}
		if len(rows) == 0 {
			return nil
		}
		var current Row
		if err := rows[0].Decode(&current); err != nil {
			return fmt.Errorf("resolve claim: %w", err)
		}
		if current.RunID != row.RunID || current.Outcome != nil {
			return nil
		}
		var c table.Commit
		c.Require(key, rows[0].Version)
		if outcome == nil {
			c.Remove(key)
		} else {
			current.Outcome = outcome
			if err := c.Set(key, current); err != nil {
				return fmt.Errorf("resolve claim: %w", err)
			}
		}
		if _, lastErr = g.Commit(ctx, c); lastErr == nil {
			return nil
		}
		if errors.Is(lastErr, table.ErrUnavailable) {
			break
		}
	}
	return fmt.Errorf("resolve claim: %w", lastErr)
}
