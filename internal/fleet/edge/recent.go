package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rosevalve/internal/budget/prepaid"
	"rosevalve/internal/protocol/inner"
)

// fetchRecent asks the router that runs as the given incarnation for the incarnations that it knows.
func (e *Edge) fetchRecent(ctx context.Context, incarnation string) (prepaid.RecentIncarnations, error) {
	addr := addrOf(e.view.Members(), incarnation)
	if addr == "" {
		return prepaid.RecentIncarnations{}, fmt.Errorf("router incarnation %q is not in the membership view", incarnation)
	}
	var in inner.RecentIncarnations
	if err := e.transport.Call(ctx, addr, inner.MethodRecentIncarnations, inner.RecentIncarnationsRequest{}, &in); err != nil {
		return prepaid.RecentIncarnations{}, fmt.Errorf("ask router incarnation %q for others: %w", incarnation, err)
	}
	out := prepaid.RecentIncarnations{
		Covered:  time.Duration(in.CoveredMS) * time.Millisecond,
		LastSeen: make(map[string]time.Duration, len(in.LastSeenMS)),
	}
	for other, ms := range in.LastSeenMS {
		out.LastSeen[other] = time.Duration(ms) * time.Millisecond
	}
	for _, usage := range in.FinalUsage {
		out.FinalUsage = append(out.FinalUsage, prepaidUsage(usage))
	}
	return out, nil
}

// handleRecentIncarnations returns the incarnations that this router knows.
func (e *Edge) handleRecentIncarnations(context.Context, json.RawMessage) (any, error) {
	recent := e.tokens.Recent()
	out := inner.RecentIncarnations{
		CoveredMS:  recent.Covered.Milliseconds(),
		LastSeenMS: make(map[string]int64, len(recent.LastSeen)),
	}
	for other, ago := range recent.LastSeen {
		out.LastSeenMS[other] = ago.Milliseconds()
	}
	for _, usage := range recent.FinalUsage {
		out.FinalUsage = append(out.FinalUsage, wireUsage(usage))
	}
	return out, nil
}
