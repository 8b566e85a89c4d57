package ledger

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"rosevalve/internal/platform/table"
)

// Batch is the bills of one holding for a settlement.
type Batch struct {
	Holding HoldingID
	Bills   []BillRow
}

// BatchResult is the outcome of settling one batch.
type BatchResult struct {
	// Row is the holding after the settlement.
	Row HoldingRow
	// Err is nil if the batch is settled. Otherwise no bill of it is, because of
	// ErrHoldingClosed or because the bills exceed the tokens drawn.
	Err error
}

// Settle inserts the bills whose keys are absent and adds their tokens to the billed
// tokens of the holding, which it returns.
//
// A bill whose key is in the table is dropped: its request has been billed.
func (l *Ledger) Settle(ctx context.Context, id HoldingID, bills []BillRow) (HoldingRow, error) {
	out, err := l.SettleMany(ctx, []Batch{{Holding: id, Bills: bills}})
	if err != nil {
		return HoldingRow{}, err
	}
	if err := out[0].Err; err != nil {
		return out[0].Row, fmt.Errorf("settle holding %q: %w", id, err)
	}
	return out[0].Row, nil
}

// SettleMany settles the batches of several holdings in one commit, which must
// not have more than table.MaxPuts rows: one for each bill and each holding.
//
// It returns the outcomes in the order of the batches. After an error the batches
// may or may not be settled; settling them again is safe.
func (l *Ledger) SettleMany(ctx context.Context, batches []Batch) ([]BatchResult, error) {
	s := settlement{batches: batches, commitID: rand.Text()}
	var lastErr error
	for range maxCommitTries {
		c, err := l.prepareCommit(ctx, &s)
		if err != nil {
			return nil, fmt.Errorf("settle %d holdings: %w", len(batches), err)
		}
		if len(c.Puts) == 0 {
			return s.outcomes, nil
		}
		if _, lastErr = l.Commit(ctx, c); lastErr == nil {
			return s.outcomes, nil
		}
		if !retryable(lastErr) {
			return nil, fmt.Errorf("settle %d holdings: %w", len(batches), lastErr)
		}
	}
	return nil, fmt.Errorf("settle %d holdings: %w: %w", len(batches), ErrContended, lastErr)
}

// settlement is the state that SettleMany keeps between its attempts.
type settlement struct {
	batches  []Batch
	commitID string
	outcomes []BatchResult
}

// prepareCommit reads the rows and builds the commit, which has no writes if all batches
// are settled or refused.
func (l *Ledger) prepareCommit(ctx context.Context, s *settlement) (table.Commit, error) {
	var keys []string
	for _, b := range s.batches {
		keys = append(keys, HoldingKey(b.Holding))
		for _, bill := range b.Bills {
			keys = append(keys, BillKey(bill.Workspace, bill.RequestKey))
		}
	}
	rows, err := l.Get(ctx, keys...)
	if err != nil {
		return table.Commit{}, err
	}
	holdings := make(map[string]table.Row)
	billed := make(map[string]bool)
	for _, r := range rows {
		if strings.HasPrefix(r.Key, holdingPrefix) {
			holdings[r.Key] = r
		} else {
			billed[r.Key] = true
		}
	}
	return s.buildCommit(holdings, billed)
}

// buildCommit sets the outcomes of the batches and returns the commit of the bills that
// are not in the table. holdings is the rows of the holdings and billed the keys of the
// bills in the table.
func (s *settlement) buildCommit(holdings map[string]table.Row, billed map[string]bool) (table.Commit, error) {
	var c table.Commit
	s.outcomes = make([]BatchResult, len(s.batches))
	for i, b := range s.batches {
		current, ok := holdings[HoldingKey(b.Holding)]
		if !ok {
			s.outcomes[i].Err = ErrHoldingClosed
			continue
		}
		row := &s.outcomes[i].Row
		if err := current.Decode(row); err != nil {
			return c, err
		}
		if row.Closed {
			s.outcomes[i].Err = ErrHoldingClosed
			continue
		}
		if row.LastCommit == s.commitID {
			continue
		}
		newBills := unbilled(b.Bills, billed)
		for _, bill := range newBills {
			row.Billed += bill.Tokens()
		}
		if row.Billed > row.Drawn {
			s.outcomes[i].Err = fmt.Errorf("bills of %d tokens exceed the %d drawn by holding %q", row.Billed, row.Drawn, row.ID())
			continue
		}
		if err := s.addBatch(&c, row, current.Version, newBills); err != nil {
			return c, err
		}
	}
	return c, nil
}

// unbilled returns the bills whose keys are not in billed, and adds their keys to it.
func unbilled(bills []BillRow, billed map[string]bool) []BillRow {
	var out []BillRow
	for _, b := range bills {
		key := BillKey(b.Workspace, b.RequestKey)
		if !billed[key] {
			billed[key] = true
			out = append(out, b)
		}
	}
	return out
}

// addBatch adds the bills of a batch and the row of its holding to the commit.
func (s *settlement) addBatch(c *table.Commit, row *HoldingRow, version uint64, bills []BillRow) error {
	if len(bills) == 0 {
		return nil
	}
	for _, b := range bills {
		key := BillKey(b.Workspace, b.RequestKey)
		c.Require(key, 0)
		if err := c.Set(key, b); err != nil {
			return err
		}
	}
	row.LastCommit = s.commitID
	c.Require(HoldingKey(row.ID()), version)
	return c.Set(HoldingKey(row.ID()), *row)
}

func requestKeys(bills []BillRow) []string {
	keys := make([]string, len(bills))
	for i, b := range bills {
		keys[i] = b.RequestKey
	}
	return keys
}
