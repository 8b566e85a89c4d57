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
	maxAttempts = 8
)

// ErrOutcomeUnknown reports that another run has claimed the call and that no outcome is
// stored, so the call may or may not have run.
var ErrOutcomeUnknown = errors.New("call claimed before and outcome not stored")

// ErrDifferentCall reports that the key was claimed by a call with another body hash.
var ErrDifferentCall = errors.New("key claimed by a different call")

// Claim is the claim of one call, as stored in the table.
type Claim struct {
	// RunID is the id of the run that has claimed the call.
	RunID string `json:"run_id"`
	// BodyHash is the hash that identifies the content of the call.
	BodyHash uint64 `json:"body_hash"`
	// ClaimedAt is the time of the claim, by the clock of the router that made it.
	ClaimedAt time.Time `json:"at"`
	// Outcome is the answer of the call; nil until it is stored.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored answer of a call.
type Outcome struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the value of the Content-Type header.
	ContentType string `json:"content_type"`
	// Body is the body of the answer.
	Body []byte `json:"body"`
}

// Registry acquires and resolves claims in the table.
type Registry struct {
	// Commit applies a commit to the table. Its errors are those of table.Client.Commit.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads the rows that exist for the keys from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
}

// Key returns the table key of the claim of a call.
func Key(workspace, service, requestKey string) string {
	return claimPrefix + workspace + "/" + service + "/" + requestKey
}

// Acquire claims the call for the run claim.RunID. It returns the stored outcome if
// the call has run before, or nil if the caller may run it now. A commit with an
// unknown outcome is retried: if it was applied, the retry finds the run's own claim.
//
// Errors are ErrOutcomeUnknown, ErrDifferentCall and those of the table; after any
// error the call must not run.
func (r *Registry) Acquire(ctx context.Context, key string, claim Claim) (*Outcome, error) {
	var lastErr error
	for range maxAttempts {
		var c table.Commit
		c.Require(key, 0)
		if err := c.Set(key, claim); err != nil {
			return nil, fmt.Errorf("claim call: %w", err)
		}
		_, err := r.Commit(ctx, c)
		if err == nil {
			return nil, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) && len(conflict.Rows) == 1 {
			return resultOf(conflict.Rows[0], claim)
		}
		if !errors.Is(err, table.ErrUnknownOutcome) {
			return nil, fmt.Errorf("claim call: %w", err)
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fmt.Errorf("claim call: %w", lastErr)
}

// resultOf returns the result of Acquire for a claim that conflicts with one that
// is already in the table.
func resultOf(found table.Row, claim Claim) (*Outcome, error) {
	var stored Claim
	if err := found.Decode(&stored); err != nil {
		return nil, fmt.Errorf("claim call: %w", err)
	}
	if stored.BodyHash != claim.BodyHash {
		return nil, ErrDifferentCall
	}
	if stored.RunID == claim.RunID {
		return nil, nil
	}
	if stored.Outcome == nil {
		return nil, ErrOutcomeUnknown
	}
	return stored.Outcome, nil
}

// Release removes the run's claim of a call that provably did not run.
func (r *Registry) Release(ctx context.Context, key string, claim Claim) error {
	return r.resolve(ctx, key, claim, nil)
}

// Store stores the outcome of the call in the run's claim.
func (r *Registry) Store(ctx context.Context, key string, claim Claim, outcome Outcome) error {
	return r.resolve(ctx, key, claim, &outcome)
}

// resolve stores the outcome in the run's claim, or removes the claim if outcome is
// nil. It does nothing if the claim is absent, belongs to another run, or has an
// outcome already.
func (r *Registry) resolve(ctx context.Context, key string, claim Claim, outcome *Outcome) error {
	var lastErr error
	for range maxAttempts {
		rows, err := r.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("resolve claim: %w", err)
		}
		if len(rows) == 0 {
			return nil
		}
		var current Claim
		if err := rows[0].Decode(&current); err != nil {
			return fmt.Errorf("resolve claim: %w", err)
		}
		if current.RunID != claim.RunID || current.Outcome != nil {
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
		if _, lastErr = r.Commit(ctx, c); lastErr == nil {
			return nil
		}
		if errors.Is(lastErr, table.ErrUnavailable) {
			break
		}
	}
	return fmt.Errorf("resolve claim: %w", lastErr)
}
