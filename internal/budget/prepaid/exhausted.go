package prepaid

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/table"
)

const (
	// verdictAge is how long it stays true that a workspace's tokens are used up, or
	// that some may come back.
	verdictAge = 500 * time.Millisecond
	// verdictTime bounds the look at the store before a request is told so.
	verdictTime = 150 * time.Millisecond
	// comeBackTime is how long the holding of an ended life is waited for; a VM that
	// takes longer to start again counts as gone.
	comeBackTime = 10 * time.Second
)

var (
	// errMoreLeft reports that the store has more tokens left than was believed.
	errMoreLeft = errors.New("store has more tokens left than was believed")
	// errComingBack reports that the tokens of an ended life may come back.
	errComingBack = errors.New("the holding of an ended life is not closed yet")
)

// verdict is the last look at all holdings of a workspace.
type verdict struct {
	at    time.Time
	err   error                // nil if the tokens are used up
	ended map[string]time.Time // ended lives that have holdings, by when they were first seen
}

// confirmExhausted looks at the store before a request is told that its workspace's
// tokens are used up. It returns nil if they are.
//
// Errors are errMoreLeft, errComingBack, and those of the store.
func (p *Purse) confirmExhausted(ctx context.Context, h *holding) error {
	now := time.Now()
	h.mu.Lock()
	last := h.verdict
	h.mu.Unlock()
	if now.Sub(last.at) < verdictAge && !errors.Is(last.err, errMoreLeft) {
		return last.err
	}
	era := h.eraOf()
	rows, err := p.readAll(ctx, h)
	if err != nil {
		return err
	}
	v := verdict{at: now, ended: make(map[string]time.Time)}
	v.err = p.judge(h, era, rows, last.ended, v)
	h.mu.Lock()
	h.verdict = v
	h.mu.Unlock()
	return v.err
}

// readAll reads the total and all holdings of the workspace.
func (p *Purse) readAll(ctx context.Context, h *holding) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTime)
	defer cancel()
	rows, err := p.readRows(ctx, allRows(h.workspace))
	if err != nil {
		return nil, fmt.Errorf("look at all holdings: %w", err)
	}
	return rows, nil
}

// judge decides by all rows of a workspace whether its tokens are used up, and notes
// the ended lives that have holdings.
func (p *Purse) judge(h *holding, era uint64, rows []table.Row, known map[string]time.Time, v verdict) error {
	var err error
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, prefixVM) {
			continue
		}
		var row holdingRow
		if err := r.Decode(&row); err != nil {
			return fmt.Errorf("holding of workspace %q: %w", h.workspace, err)
		}
		if row.Tokens == 0 || p.Alive(row.Life) {
			continue
		}
		since, ok := known[row.Life]
		if !ok {
			since = v.at
		}
		v.ended[row.Life] = since
		if v.at.Sub(since) < comeBackTime {
			err = fmt.Errorf("%w: life %q has %d tokens", errComingBack, row.Life, row.Tokens)
		}
	}
	if err := p.see(h, era, rows); err != nil {
		return err
	}
	if _, settled := p.eras.current(); !settled {
		return errUnsettled
	}
	if p.left(h) > 0 {
		return errMoreLeft
	}
	return err
}
