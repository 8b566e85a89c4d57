package edge

import (
	"context"
	"fmt"
	"os"
	"time"

	"rosevalve/internal/fleet/drain"
	"rosevalve/internal/fleet/eventlog"
)

const (
	// maxReleaseTime bounds the time at the end of a stop for returning tokens.
	maxReleaseTime = 400 * time.Millisecond
	// exitMargin is the time that the process needs besides, before it is killed: to close the
	// connections of requests that were cut off, and to write the last lines of the log.
	exitMargin = 300 * time.Millisecond
	// shutdownShare is the share of the drain limit for returning tokens and the exit. Requests
	// are not cut off before that part begins.
	shutdownShare = 1.0 / 6
	// returnRetryDelay is the delay after a failed return of excess tokens.
	returnRetryDelay = 250 * time.Millisecond
	// addressAgeFactor is how many times the allowed age some callers keep using an address.
	addressAgeFactor = 3
)

// drain stops the router gracefully. It announces at once that the router is leaving, so that
// new callers go elsewhere, but keeps serving callers that may still hold its address.
func (e *Edge) drain() error {
	began := time.Now()
	e.stopBegan.Store(&began)
	e.Events.Emit(eventlog.ProcessDraining, "life", e.incarnation)
	finish, releaseTime := stopTimes(e.settings().Router.DrainTimeout)
	e.admission.Begin(began, began.Add(finish))
	addressTTL := e.toldAddresses.ttl(began, e.settings().Edge.DirectoryMaxAge)
	d := &drain.Drain{
		AnnounceLeaving: func(ctx context.Context) {
			e.tokens.RemoveHeadroom()
			go e.returnExcess(ctx, addressTTL)
			e.view.AnnounceLeaving(ctx)
		},
		AddressTTL:       addressTTL,
		RestrictRequests: e.admission.RequireDeadline,
		FinishSteps:      []drain.Step{{Name: "finish requests", Run: e.ingress.Shutdown}},
		ReleaseSteps:     []drain.Step{{Name: "give tokens back", Run: func(ctx context.Context) error { return e.returnTokens(ctx, releaseTime/2) }}},
		AnnounceStopped:  e.view.AnnounceStopped,
		Timeout:          finish,
		MinReleaseTime:   releaseTime,
	}
	err := d.Run()
	pairs := []any{"life", e.incarnation, "took_ms", time.Since(began).Milliseconds()}
	if err != nil {
		pairs = append(pairs, "err", err)
		err = fmt.Errorf("drain: %w", err)
	}
	e.Events.Emit(eventlog.ProcessDrained, pairs...)
	return err
}

// recordRepeatedStop logs a signal to stop that arrived while the router stops.
func (e *Edge) recordRepeatedStop(s os.Signal) {
	e.Events.Emit(eventlog.StopRepeated, "life", e.incarnation, "signal", s.String())
}

// leaving reports whether the drain has begun.
func (e *Edge) leaving() bool { return e.stopBegan.Load() != nil }

// afterStop returns the time from the begin of the drain to t; negative if t is before it, and 0
// without a drain.
func (e *Edge) afterStop(t time.Time) time.Duration {
	began := e.stopBegan.Load()
	if began == nil {
		return 0
	}
	return t.Sub(*began)
}

// stopTimes divides the drain limit into the time for requests to finish and the following
// time to return tokens. exitMargin is left for the exit.
func stopTimes(limit time.Duration) (finish, releaseTime time.Duration) {
	tail := time.Duration(shutdownShare * float64(limit))
	releaseTime = max(0, min(maxReleaseTime, tail-exitMargin))
	return limit - releaseTime - exitMargin, releaseTime
}

// returnTokens returns the unused tokens to the store. If the store is unreachable, it first
// transfers them to other routers.
func (e *Edge) returnTokens(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if e.configTable.Failing() {
		// Transferred tokens can be used before the store is reachable again.
		e.tokens.TransferFree(ctx)
	}
	return e.tokens.Close(ctx)
}

// returnExcess returns the tokens that this router is not expected to need while it still accepts
// requests, which is for the time ahead. It retries that until ctx ends, since other routers can not
// use them meanwhile.
func (e *Edge) returnExcess(ctx context.Context, ahead time.Duration) {
	attempt := func() error { return e.tokens.ReturnExcess(ctx, ahead) }
	report := func(err error) { e.Events.Emit(eventlog.ReturnFailed, "err", err) }
	retryReturn(ctx, attempt, report)
}

// retryReturn repeats an attempt to return tokens until it succeeds or ctx ends, and reports each
// failure.
func retryReturn(ctx context.Context, attempt func() error, report func(err error)) {
	for {
		err := attempt()
		if err == nil {
			return
		}
		report(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnRetryDelay):
		}
	}
}
