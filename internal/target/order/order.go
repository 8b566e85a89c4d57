package order

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	claimPrefix = "order/"
	maxTries    = 5
)

// ErrHeld reports that another router may still give orders to the target.
var ErrHeld = errors.New("target is held by another router")

// ErrOldFence is what a target that checks fencing numbers answers to an old one.
var ErrOldFence = errors.New("fencing number is old")

// ErrNotDone reports that a target has definitely not carried out an order and never will.
var ErrNotDone = errors.New("order was not carried out")

// ClaimRow tells who may give orders to a target.
type ClaimRow struct {
	// Fence is raised with each holder.
	Fence uint64 `json:"fence"`
	// Holder is the router incarnation, or empty if the target was released.
	Holder string `json:"holder"`
	// Commit identifies the last commit, so that a lost answer can be recognised.
	Commit string `json:"commit"`
}

// Desk gives this router's orders.
type Desk struct {
	// Holder is this router's incarnation.
	Holder string
	// Commit applies a commit to the table, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// Get reads rows from the table.
	Get func(ctx context.Context, keys ...string) ([]table.Row, error)
	// Send delivers an order; its errors may be ErrOldFence and ErrNotDone, any other leaves the outcome unknown.
	Send func(ctx context.Context, target string, fence uint64, action string) error
}

// Give claims the target, sends it one order and releases it.
//
// A claim with an order whose outcome is unknown stays: for a target that does
// not check fencing numbers only the operator's Release ends it.
func (d *Desk) Give(ctx context.Context, target string, checksFencing bool, action string) error {
	fence, err := d.acquire(ctx, target, checksFencing)
	if err != nil {
		return fmt.Errorf("claim target %q: %w", target, err)
	}
	sendErr := d.Send(ctx, target, fence, action)
	if sendErr != nil && !errors.Is(sendErr, ErrOldFence) && !errors.Is(sendErr, ErrNotDone) {
		return fmt.Errorf("order to target %q may still be carried out: %w", target, sendErr)
	}
	if err := d.release(ctx, target, fence); err != nil {
		return errors.Join(sendErr, fmt.Errorf("release target %q: %w", target, err))
	}
	return sendErr
}

// acquire makes this router the holder and returns its fencing number.
func (d *Desk) acquire(ctx context.Context, target string, checksFencing bool) (uint64, error) {
	commitID := rand.Text()
	var lastErr error
	for range maxTries {
		row, version, err := d.read(ctx, target)
		if err != nil {
			return 0, err
		}
		if row.Commit == commitID {
			return row.Fence, nil
		}
		if row.Holder != "" && !checksFencing {
			return 0, fmt.Errorf("holder %q, fencing number %d: %w", row.Holder, row.Fence, ErrHeld)
		}
		next := ClaimRow{Fence: row.Fence + 1, Holder: d.Holder, Commit: commitID}
		lastErr = d.write(ctx, target, version, next)
		if lastErr == nil {
			return next.Fence, nil
		}
	}
	return 0, lastErr
}

// release ends the claim with the fencing number, unless another has replaced it.
func (d *Desk) release(ctx context.Context, target string, fence uint64) error {
	var lastErr error
	for range maxTries {
		row, version, err := d.read(ctx, target)
		if err != nil {
			return err
		}
		if row.Fence != fence || row.Holder == "" {
			return nil
		}
		row.Holder = ""
		lastErr = d.write(ctx, target, version, row)
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// Release ends the claim of a router that is surely gone, with all of its orders.
func (d *Desk) Release(ctx context.Context, target string) error {
	row, _, err := d.read(ctx, target)
	if err != nil {
		return fmt.Errorf("read claim of target %q: %w", target, err)
	}
	if err := d.release(ctx, target, row.Fence); err != nil {
		return fmt.Errorf("release target %q: %w", target, err)
	}
	return nil
}

func (d *Desk) read(ctx context.Context, target string) (ClaimRow, uint64, error) {
	rows, err := d.Get(ctx, claimPrefix+target)
	if err != nil || len(rows) == 0 {
		return ClaimRow{}, 0, err
	}
	var row ClaimRow
	if err := rows[0].Decode(&row); err != nil {
		return ClaimRow{}, 0, err
	}
	return row, rows[0].Version, nil
}

func (d *Desk) write(ctx context.Context, target string, version uint64, row ClaimRow) error {
	var c table.Commit
	c.Require(claimPrefix+target, version)
	if err := c.Set(claimPrefix+target, row); err != nil {
		return err
	}
	_, err := d.Commit(ctx, c)
	return err
}
