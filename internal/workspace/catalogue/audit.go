package catalogue

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"rosevalve/internal/platform/table"
)

const auditPrefix = "audit/"

// AuditRecord is the audit trail entry of one command.
type AuditRecord struct {
	At        time.Time `json:"at"`
	Operator  string    `json:"operator"`
	Command   string    `json:"command"`
	CommandID string    `json:"command_id"`
	// Version is the version that the command created, or 0 if it did not change the
	// configuration.
	Version uint64 `json:"version,omitempty"`
	// Outcome is OutcomeStarted until the command has ended, then OutcomeDone or the text
	// of its error.
	Outcome string `json:"outcome"`
}

// The outcomes of commands.
const (
	OutcomeStarted = "started"
	OutcomeDone    = "done"
)

// WriteAudit adds a command that does not change the configuration to the audit trail.
// Commands that do are audited by the change log.
//
// A second call with the same time and command id replaces the first record.
func (c *Catalogue) WriteAudit(ctx context.Context, r AuditRecord) error {
	var commit table.Commit
	if err := commit.Set(recordKey(r), r); err != nil {
		return err
	}
	if _, err := c.Commit(ctx, commit); err != nil {
		return fmt.Errorf("write audit trail: %w", err)
	}
	return nil
}

// recordKey returns a key that sorts the most recent record first, because the table
// scans only in ascending order.
func recordKey(r AuditRecord) string {
	return fmt.Sprintf("%s%020d/%s", auditPrefix, math.MaxInt64-r.At.UnixMilli(), r.CommandID)
}

// AuditRecords returns at most limit of the most recent commands, the most recent first. It
// merges the audit trail with the change log.
func (c *Catalogue) AuditRecords(ctx context.Context, limit int) ([]AuditRecord, error) {
	rows, err := c.Scan(ctx, auditPrefix, "", limit)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	out := make([]AuditRecord, len(rows))
	for i, r := range rows {
		if err := r.Decode(&out[i]); err != nil {
			return nil, err
		}
	}
	changes, err := c.newestChanges(ctx, uint64(limit))
	if err != nil {
		return nil, err
	}
	for _, ch := range changes {
		out = append(out, AuditRecord{
			At: ch.At, Operator: ch.Operator, Command: ch.Command, CommandID: ch.CommandID,
			Version: ch.Version, Outcome: OutcomeDone,
		})
	}
	slices.SortStableFunc(out, func(a, b AuditRecord) int { return b.At.Compare(a.At) })
	return out[:min(limit, len(out))], nil
}

// newestChanges returns the last limit changes of the change log, oldest first.
func (c *Catalogue) newestChanges(ctx context.Context, limit uint64) ([]Change, error) {
	if err := c.Refresh(ctx); err != nil {
		return nil, err
	}
	version := c.Current().Version()
	return c.Changes(ctx, version-min(version, limit), int(limit))
}
