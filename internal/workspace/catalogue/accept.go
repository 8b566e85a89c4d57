package catalogue

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

const (
	maxTries      = 5
	maxDifference = 20 // changes listed in a RacedError
)

// Change is one accepted command, as stored and as sent to other routers.
type Change = inner.ConfigurationChange

// Item is one configured thing, as stored and as sent to other routers.
type Item = inner.ConfigurationItem

// RacedError reports that other changes were accepted first; the refused one never takes effect.
type RacedError struct {
	// Base is the version that the refused change was made for.
	Base uint64
	// Current is the version that the table has.
	Current uint64
	// Changes are those accepted since Base, the oldest first.
	Changes []Change
}

// Error tells the versions and the commands in between.
func (e *RacedError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration is at version %d, not %d; accepted since:", e.Current, e.Base)
	for _, ch := range e.Changes {
		fmt.Fprintf(&b, " %d by %s: %s;", ch.Version, ch.Operator, ch.Command)
	}
	return b.String()
}

// RefusedError reports that a repeated command was refused before, which is final.
type RefusedError struct {
	// Reason is what the operator was told then.
	Reason string
}

// Error tells the reason.
func (e *RefusedError) Error() string { return "command was refused before: " + e.Reason }

// commandRow records that a command id has been accepted or refused; only the first of both is ever written.
type commandRow struct {
	Version uint64 `json:"version,omitempty"`
	Refused string `json:"refused,omitempty"`
	// Digest is that of the command's text.
	Digest string `json:"digest"`
}

// digest tells commands apart that were sent with the same id.
func digest(command string) string {
	sum := sha256.Sum256([]byte(command))
	return hex.EncodeToString(sum[:8])
}

// Accepted returns the version that the command id made, if it was accepted.
//
// The error is a *RefusedError if the command was refused, or the id was used for another one.
func (c *Catalogue) Accepted(ctx context.Context, commandID, command string) (uint64, bool, error) {
	rows, err := c.Get(ctx, commandPrefix+commandID)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err := rows[0].Decode(&row); err != nil {
		return 0, false, err
	}
	if row.Digest != digest(command) {
		return 0, false, &RefusedError{Reason: fmt.Sprintf("command id %q was used for another command", commandID)}
	}
	if row.Refused != "" {
		return 0, false, &RefusedError{Reason: row.Refused}
	}
	return row.Version, true, nil
}

// Accept commits the change and returns its version; a command id that was accepted before changes nothing.
//
// The error is a *RacedError if the table is no longer at the base version. With
// table.ErrUnknownOutcome the change may still take effect; the same command id
// then finds out.
func (c *Catalogue) Accept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	version, err := c.repeatAccept(ctx, base, ch)
	var raced *RacedError
	if errors.As(err, &raced) {
		version, err = c.Refuse(ctx, ch.CommandID, ch.Command, raced)
	}
	if err != nil {
		return 0, fmt.Errorf("accept change: %w", err)
	}
	accepts.Add(1)
	c.tidy(ctx, version)
	return version, nil
}

// Refuse makes a refusal final and returns reason, or the version of the command if it was accepted after all.
//
// Another router may still be at work on the same command for an operator who
// repeated it: the row written here keeps its commit from taking effect later.
func (c *Catalogue) Refuse(ctx context.Context, commandID, command string, reason error) (uint64, error) {
	var commit table.Commit
	commit.Require(commandPrefix+commandID, 0)
	if err := commit.Set(commandPrefix+commandID, commandRow{Refused: reason.Error(), Digest: digest(command)}); err != nil {
		return 0, err
	}
	_, err := c.Commit(ctx, commit)
	if err == nil {
		refusals.Add(1)
		return 0, reason
	}
	version, found, readErr := c.Accepted(ctx, commandID, command)
	var refused *RefusedError
	switch {
	case errors.As(readErr, &refused):
		return 0, reason
	case readErr == nil && found:
		return version, nil
	default:
		return 0, fmt.Errorf("%w: refusal was not recorded: %w", table.ErrUnknownOutcome, err)
	}
}

func (c *Catalogue) repeatAccept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	var lastErr error
	for range maxTries {
		version, err := c.tryAccept(ctx, base, ch)
		if err == nil {
			return version, nil
		}
		if lastErr == nil || !errors.Is(err, table.ErrUnavailable) {
			lastErr = err // a refused repeat leaves the outcome of an earlier try unknown
		}
		if !errors.Is(err, table.ErrUnknownOutcome) || ctx.Err() != nil {
			break
		}
	}
	return 0, lastErr
}

// tidy compacts the log now and then.
func (c *Catalogue) tidy(ctx context.Context, version uint64) {
	c.Heard(version)
	if version%c.segmentSize() != 0 {
		return
	}
	if err := c.Compact(ctx); err != nil {
		c.report(err)
	}
}

func (c *Catalogue) tryAccept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	h, headVersion, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	done, found, err := c.Accepted(ctx, ch.CommandID, ch.Command)
	if err != nil || found {
		return done, err
	}
	if h.Version != base {
		return 0, c.raced(ctx, base, h.Version)
	}
	ch.Version = base + 1
	commit, err := changeCommit(headVersion, ch)
	if err != nil {
		return 0, err
	}
	_, err = c.Commit(ctx, commit)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return c.resolve(ctx, base, ch)
	}
	if err != nil {
		return 0, err
	}
	c.apply(ch)
	return ch.Version, nil
}

// apply brings an accepted change into force here without a read, if nothing else is missing.
func (c *Catalogue) apply(ch Change) {
	s := c.Current()
	if c.Ready() && s.version+1 == ch.Version {
		c.install(s.with([]Change{ch}))
	}
}

// resolve finds out what a conflict means: an earlier try of the command may have been applied.
func (c *Catalogue) resolve(ctx context.Context, base uint64, ch Change) (uint64, error) {
	done, found, err := c.Accepted(ctx, ch.CommandID, ch.Command)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return 0, err
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	if found {
		return done, nil
	}
	h, _, err := c.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	return 0, c.raced(ctx, base, h.Version)
}

// raced describes the changes between the versions as far as they can be read.
func (c *Catalogue) raced(ctx context.Context, base, current uint64) error {
	e := &RacedError{Base: base, Current: current}
	rows, err := c.Scan(ctx, changePrefix, changeKey(base), maxDifference)
	if err != nil {
		return e
	}
	for _, r := range rows {
		var ch Change
		if err := r.Decode(&ch); err != nil {
			return e
		}
		e.Changes = append(e.Changes, ch)
		e.Current = max(e.Current, ch.Version)
	}
	return e
}

// changeCommit builds the commit of a change whose version is set.
//
// The condition on the head lets one of racing changes win; the one on the
// command's row lets a command take effect once, however late a try arrives.
func changeCommit(headVersion uint64, ch Change) (table.Commit, error) {
	var c table.Commit
	c.Require(headKey, headVersion)
	c.Require(commandPrefix+ch.CommandID, 0)
	for i := range ch.Items {
		item := &ch.Items[i]
		item.Version = ch.Version
		if err := setItem(&c, item); err != nil {
			return c, err
		}
	}
	if err := c.Set(headKey, head{Version: ch.Version}); err != nil {
		return c, err
	}
	if err := c.Set(commandPrefix+ch.CommandID, commandRow{Version: ch.Version, Digest: digest(ch.Command)}); err != nil {
		return c, err
	}
	if err := c.Set(changeKey(ch.Version), ch); err != nil {
		return c, err
	}
	return c, nil
}

func setItem(c *table.Commit, item *Item) error {
	if !validName(item.Name) {
		return fmt.Errorf("%s name %q has a slash, a space or a quote", item.Kind, item.Name)
	}
	key := itemPrefix + item.Kind + "/" + item.Name
	if item.Deleted {
		c.Remove(key)
		return nil
	}
	return c.Set(key, item)
}
