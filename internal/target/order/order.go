package order

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	// claimKeyPrefix precedes the target's address in the table key of its claim.
	claimKeyPrefix = "order/"
	// maxCommitTries is the maximum number of attempts to commit one change of a claim.
	maxCommitTries = 5
)

// ErrClaimed reports that the target cannot be claimed, because another router may
// still send orders to it.
var ErrClaimed = errors.New("target is held by another router")

// ErrStaleToken reports that the target refused an order with a stale fencing token.
var ErrStaleToken = errors.New("fencing token is stale")

// ErrNotExecuted reports that a target has not carried out an order and never will.
var ErrNotExecuted = errors.New("order was not carried out")

// ClaimRow is the table row that grants one router the right to send orders to a target.
type ClaimRow struct {
	// FencingToken is the fencing token of the claim; each new claim increments it.
	FencingToken uint64 `json:"fence"`
	// Holder is the router incarnation with the claim, or empty if the claim was released.
	Holder string `json:"holder"`
	// CommitID identifies the commit that made the claim, so that a router whose answer
	// was lost recognises its own claim.
	CommitID string `json:"commit"`
}

// Commander sends the orders of this router to targets, each under a claim on the target.
type Commander struct {
	// Holder is the ID of this router's incarnation.
	Holder string
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, commit table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Send delivers an order with its fencing token to a target. ErrStaleToken and
	// ErrNotExecuted mean that the order was not carried out; any other error leaves the
	// outcome unknown.
	Send func(ctx context.Context, target string, token uint64, action string) error
}

// SendOrder claims the target, sends it one order and releases the claim.
//
// If the outcome of the order is unknown, the claim is kept. On a target that does
// not check fencing tokens it blocks further orders until an operator calls
// ReleaseClaim; on one that does, the next order takes the claim over.
func (c *Commander) SendOrder(ctx context.Context, target string, checksFencing bool, action string) error {
	token, err := c.acquireClaim(ctx, target, checksFencing)
	if err != nil {
		return fmt.Errorf("claim target %q: %w", target, err)
	}
	sendErr := c.Send(ctx, target, token, action)
	if sendErr != nil && !errors.Is(sendErr, ErrStaleToken) && !errors.Is(sendErr, ErrNotExecuted) {
		return fmt.Errorf("order to target %q may still be carried out: %w", target, sendErr)
	}
	if err := c.releaseClaim(ctx, target, token); err != nil {
		return errors.Join(sendErr, fmt.Errorf("release target %q: %w", target, err))
	}
	return sendErr
}

// acquireClaim makes this router the holder of the claim and returns its fencing token.
// It takes over an existing claim only if the target checks fencing tokens.
func (c *Commander) acquireClaim(ctx context.Context, target string, checksFencing bool) (uint64, error) {
	commitID := rand.Text()
	var lastErr error
	for range maxCommitTries {
		row, version, err := c.readClaim(ctx, target)
		if err != nil {
			return 0, err
		}
		if row.CommitID == commitID {
			return row.FencingToken, nil
		}
		if row.Holder != "" && !checksFencing {
			return 0, fmt.Errorf("holder %q, fencing token %d: %w", row.Holder, row.FencingToken, ErrClaimed)
		}
		next := ClaimRow{FencingToken: row.FencingToken + 1, Holder: c.Holder, CommitID: commitID}
		lastErr = c.commitClaim(ctx, target, version, next)
		if lastErr == nil {
			return next.FencingToken, nil
		}
	}
	return 0, lastErr
}

// releaseClaim releases the claim with the fencing token. It does nothing if the claim
// was released or replaced already.
func (c *Commander) releaseClaim(ctx context.Context, target string, token uint64) error {
	var lastErr error
	for range maxCommitTries {
		row, version, err := c.readClaim(ctx, target)
		if err != nil {
			return err
		}
		if row.FencingToken != token || row.Holder == "" {
			return nil
		}
		row.Holder = ""
		lastErr = c.commitClaim(ctx, target, version, row)
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// ReleaseClaim releases the current claim on the target on behalf of an operator, who must
// be certain that its holder is gone and that none of its orders is still in progress.
func (c *Commander) ReleaseClaim(ctx context.Context, target string) error {
	row, _, err := c.readClaim(ctx, target)
	if err != nil {
		return fmt.Errorf("read claim of target %q: %w", target, err)
	}
	if err := c.releaseClaim(ctx, target, row.FencingToken); err != nil {
		return fmt.Errorf("release target %q: %w", target, err)
	}
	return nil
}

// readClaim returns the claim on the target and the version of its row, or zero values
// if the target was never claimed.
func (c *Commander) readClaim(ctx context.Context, target string) (ClaimRow, uint64, error) {
	rows, err := c.Get(ctx, claimKeyPrefix+target)
	if err != nil || len(rows) == 0 {
		return ClaimRow{}, 0, err
	}
	var row ClaimRow
	if err := rows[0].Decode(&row); err != nil {
		return ClaimRow{}, 0, err
	}
	return row, rows[0].Version, nil
}

// commitClaim writes the claim on condition that its row still has the version.
func (c *Commander) commitClaim(ctx context.Context, target string, version uint64, row ClaimRow) error {
	var commit table.Commit
	commit.Require(claimKeyPrefix+target, version)
	if err := commit.Set(claimKeyPrefix+target, row); err != nil {
		return err
	}
	_, err := c.Commit(ctx, commit)
	return err
}
