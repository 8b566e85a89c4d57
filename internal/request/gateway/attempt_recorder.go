package gateway

import (
	"context"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
)

// attemptRecorder records the attempts of a run at the witness, the router that
// acknowledges what a budget's holder spends.
type attemptRecorder struct {
	gateway     *Gateway
	run         *register.Run
	reservation *allotment.Reservation
	attempt     allotment.Attempt
	lastErr     error // result of the most recent call of record
}

func (g *Gateway) newAttemptRecorder(run *register.Run, r *allotment.Reservation, a allotment.Attempt) *attemptRecorder {
	a.RunID = run.ID()
	a.RequestKey = run.Key().IdempotencyKey
	return &attemptRecorder{gateway: g, run: run, reservation: r, attempt: a}
}

// record waits until the witness has acknowledged the attempt at loc. After an
// error the attempt must not be sent.
func (a *attemptRecorder) record(loc dispatch.RunLocation) error {
	ctx, cancel := context.WithTimeout(a.run.Context(), a.gateway.reserveTimeout())
	defer cancel()
	attempt := a.attempt
	attempt.Target, attempt.AttemptID = loc.Target, loc.RunID
	a.lastErr = a.reservation.RecordAttempt(ctx, attempt)
	return a.lastErr
}

// notRunError returns the error to send for a request that did not run: the one
// of the most recent call of record if that failed, and otherwise fallback.
func (a *attemptRecorder) notRunError(fallback *answer.Error) *answer.Error {
	if a.lastErr == nil {
		return fallback
	}
	return reserveError(a.lastErr)
}
