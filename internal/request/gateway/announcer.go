package gateway

import (
	"context"

	"rosevalve/internal/budget/allotment"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
)

// announcer makes the attempts of a run known to the budget's witness.
type announcer struct {
	gateway     *Gateway
	run         *register.Run
	reservation *allotment.Reservation
	attempt     allotment.Attempt
	err         error // of the last announcement
}

func (g *Gateway) announcer(run *register.Run, r *allotment.Reservation, a allotment.Attempt) *announcer {
	a.RunID = run.ID()
	a.RequestKey = run.Key().Request
	return &announcer{gateway: g, run: run, reservation: r, attempt: a}
}

// announce returns once the witness knows of the attempt; after an error it must not be sent.
func (a *announcer) announce(at dispatch.Location) error {
	ctx, cancel := context.WithTimeout(a.run.Context(), a.gateway.reserveTimeout())
	defer cancel()
	attempt := a.attempt
	attempt.Target, attempt.ID = at.Target, at.RunID
	a.err = a.reservation.Announce(ctx, attempt)
	return a.err
}

// failure returns the answer to a request that did not run, which names the cause
// if it could not be announced.
func (a *announcer) failure(otherwise *answer.Error) *answer.Error {
	if a.err == nil {
		return otherwise
	}
	return reserveFailure(a.err)
}
