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
	maxAcceptAttempts  = 5
	maxReportedChanges = 20 // in a VersionConflictError
)

// Change is an entry of the change log: one accepted command with the items that it
// wrote. It has the same form in the table and between routers.
type Change = inner.ConfigurationChange

// Item is one configured object, such as a workspace or a target. It has the same form
// in the table and between routers.
type Item = inner.ConfigurationItem

// VersionConflictError reports that a change was refused because others were accepted after its
// base version. The refused change never takes effect.
type VersionConflictError struct {
	// Base is the version on which the refused change was based.
	Base uint64
	// Current is the version in the table.
	Current uint64
	// Changes are the first changes accepted after Base, oldest first, at most
	// maxReportedChanges. It is incomplete if the change log could not be read.
	Changes []Change
}

// Error returns both versions and the commands accepted between them.
func (e *VersionConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration is at version %d, not %d; accepted since:", e.Current, e.Base)
	for _, ch := range e.Changes {
		fmt.Fprintf(&b, " %d by %s: %s;", ch.Version, ch.Operator, ch.Command)
	}
	return b.String()
}

// CommandRefusedError reports that the command id was refused earlier or belongs to another
// command. The refusal is final: retries of the id return it too.
type CommandRefusedError struct {
	// Reason is the message of the original refusal.
	Reason string
}

// Error returns the reason.
func (e *CommandRefusedError) Error() string { return "command was refused before: " + e.Reason }

// commandRow is the row that makes a command id an idempotency key. It is written once,
// when the command is accepted or refused, and never replaced.
type commandRow struct {
	// Version is the version that the command created, or 0 if it was refused.
	Version uint64 `json:"version,omitempty"`
	// Refused is the reason of the refusal, or empty if the command was accepted.
	Refused string `json:"refused,omitempty"`
	// Digest is the commandDigest of the command text.
	Digest string `json:"digest"`
}

// commandDigest returns a hash of the command text, which detects that an id is reused
// for another command.
func commandDigest(command string) string {
	sum := sha256.Sum256([]byte(command))
	return hex.EncodeToString(sum[:8])
}

// AcceptedVersion returns the version that the command created and true, or false if the
// command id is not in the table.
//
// The error is a *CommandRefusedError if the command was refused or the id was used for
// another command.
func (c *Catalogue) AcceptedVersion(ctx context.Context, commandID, command string) (uint64, bool, error) {
	rows, err := c.Get(ctx, commandPrefix+commandID)
	if err != nil || len(rows) == 0 {
		return 0, false, err
	}
	var row commandRow
	if err := rows[0].Decode(&row); err != nil {
		return 0, false, err
	}
	if row.Digest != commandDigest(command) {
		return 0, false, &CommandRefusedError{Reason: fmt.Sprintf("command id %q was used for another command", commandID)}
	}
	if row.Refused != "" {
		return 0, false, &CommandRefusedError{Reason: row.Refused}
	}
	return row.Version, true, nil
}

// Accept commits the change, which was made for the base version, and returns the new
// version. If the command id was accepted before, it returns that version and changes
// nothing.
//
// The error is a *VersionConflictError if the table is no longer at the base version, and a
// *CommandRefusedError if the id was refused before. After table.ErrUnknownOutcome the change
// may still take effect; a retry with the same command id returns the outcome.
func (c *Catalogue) Accept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	version, err := c.acceptWithRetries(ctx, base, ch)
	var raced *VersionConflictError
	if errors.As(err, &raced) {
		version, err = c.Refuse(ctx, ch.CommandID, ch.Command, raced)
	}
	if err != nil {
		return 0, fmt.Errorf("accept change: %w", err)
	}
	accepts.Add(1)
	c.afterAccept(ctx, version)
	return version, nil
}

// Refuse records that the command is refused and returns reason. If the command has
// already been accepted, it returns the version of the command instead. The error is
// table.ErrUnknownOutcome if the refusal could not be recorded.
//
// Another router may still be processing a retry of the command. The row written here
// makes the commit of that router fail.
func (c *Catalogue) Refuse(ctx context.Context, commandID, command string, reason error) (uint64, error) {
	var commit table.Commit
	commit.Require(commandPrefix+commandID, 0)
	if err := commit.Set(commandPrefix+commandID, commandRow{Refused: reason.Error(), Digest: commandDigest(command)}); err != nil {
		return 0, err
	}
	_, err := c.Commit(ctx, commit)
	if err == nil {
		refusals.Add(1)
		return 0, reason
	}
	version, found, readErr := c.AcceptedVersion(ctx, commandID, command)
	var refused *CommandRefusedError
	switch {
	case errors.As(readErr, &refused):
		return 0, reason
	case readErr == nil && found:
		return version, nil
	default:
		return 0, fmt.Errorf("%w: refusal was not recorded: %w", table.ErrUnknownOutcome, err)
	}
}

// acceptWithRetries retries tryAccept while the outcome of the commit is unknown.
func (c *Catalogue) acceptWithRetries(ctx context.Context, base uint64, ch Change) (uint64, error) {
	var lastErr error
	for range maxAcceptAttempts {
		version, err := c.tryAccept(ctx, base, ch)
		if err == nil {
			return version, nil
		}
		if lastErr == nil || !errors.Is(err, table.ErrUnavailable) {
			lastErr = err // not by ErrUnavailable on a retry, which leaves the outcome of an earlier attempt unknown
		}
		if !errors.Is(err, table.ErrUnknownOutcome) || ctx.Err() != nil {
			break
		}
	}
	return 0, lastErr
}

// afterAccept records that the version exists, in case the current snapshot lacks it, and
// compacts the change log whenever a segment is full.
func (c *Catalogue) afterAccept(ctx context.Context, version uint64) {
	c.ObserveVersion(version)
	if version%c.segmentSize() != 0 {
		return
	}
	if err := c.Compact(ctx); err != nil {
		c.reportError(err)
	}
}

// tryAccept makes one attempt to commit the change.
func (c *Catalogue) tryAccept(ctx context.Context, base uint64, ch Change) (uint64, error) {
	h, headRowVersion, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	acceptedVersion, found, err := c.AcceptedVersion(ctx, ch.CommandID, ch.Command)
	if err != nil || found {
		return acceptedVersion, err
	}
	if h.Version != base {
		return 0, c.versionConflictError(ctx, base, h.Version)
	}
	ch.Version = base + 1
	commit, err := changeCommit(headRowVersion, ch)
	if err != nil {
		return 0, err
	}
	_, err = c.Commit(ctx, commit)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return c.resolveConflict(ctx, base, ch)
	}
	if err != nil {
		return 0, err
	}
	c.installAccepted(ch)
	return ch.Version, nil
}

// installAccepted installs a change that this router has committed, without reading the
// table. It does nothing if the current snapshot lacks earlier changes.
func (c *Catalogue) installAccepted(ch Change) {
	s := c.Current()
	if c.Ready() && s.version+1 == ch.Version {
		c.install(s.withChanges([]Change{ch}))
	}
}

// resolveConflict determines why a commit conflicted: an earlier attempt of the same
// command was applied, the command was refused, or another change was accepted first.
func (c *Catalogue) resolveConflict(ctx context.Context, base uint64, ch Change) (uint64, error) {
	acceptedVersion, found, err := c.AcceptedVersion(ctx, ch.CommandID, ch.Command)
	var refused *CommandRefusedError
	if errors.As(err, &refused) {
		return 0, err
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	if found {
		return acceptedVersion, nil
	}
	h, _, err := c.readHead(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	return 0, c.versionConflictError(ctx, base, h.Version)
}

// versionConflictError returns a *VersionConflictError with as many of the changes after base
// as could be read.
func (c *Catalogue) versionConflictError(ctx context.Context, base, current uint64) error {
	e := &VersionConflictError{Base: base, Current: current}
	rows, err := c.Scan(ctx, changePrefix, changeKey(base), maxReportedChanges)
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

// changeCommit returns the commit that writes ch, whose version is set, if the head row
// still has the table version headRowVersion.
//
// The condition on the head row lets only one of several concurrent changes succeed. The
// condition on the command row lets a command take effect only once, even if a delayed
// attempt arrives later.
func changeCommit(headRowVersion uint64, ch Change) (table.Commit, error) {
	var c table.Commit
	c.Require(headKey, headRowVersion)
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
	if err := c.Set(commandPrefix+ch.CommandID, commandRow{Version: ch.Version, Digest: commandDigest(ch.Command)}); err != nil {
		return c, err
	}
	if err := c.Set(changeKey(ch.Version), ch); err != nil {
		return c, err
	}
	return c, nil
}

// setItem adds the write or the removal of the item to the commit.
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
