package forward

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/target/upstream"
)

//go:generate ../../../bin/stringer -type=Ending -linecomment

// Ending is the reason why a request ended without a complete answer of a target.
type Ending int

// The reasons why a request ends early. Those that concern the whole request come before those of its
// last attempt.
const (
	// EndingNone means that the request was answered, or refused before an attempt was sent.
	EndingNone Ending = iota // none
	// EndingRouterStop means that the router stopped.
	EndingRouterStop // router_stop
	// EndingCallerLeft means that the caller disconnected.
	EndingCallerLeft // caller_left
	// EndingWriteFailed means that the answer could not be written to the caller.
	EndingWriteFailed // caller_write_failed
	// EndingTimeOver means that the deadline of the request passed.
	EndingTimeOver // time_over
	// EndingGivenUpSilent means that a target was given up because it was silent, and that no other
	// one completed the answer.
	EndingGivenUpSilent // given_up_silent
	// EndingRetryDenied means that the retry budget did not allow another attempt.
	EndingRetryDenied // retry_denied
	// EndingNoTarget means that another attempt was allowed, but no target could take it, or its prompt
	// was blocked meanwhile.
	EndingNoTarget // no_target
	// EndingAttemptsSpent means that the last of the attempts that the route allows failed too.
	EndingAttemptsSpent // attempts_spent
	// EndingNoMemory means that the memory for buffered answers was used up.
	EndingNoMemory // no_memory
	// EndingTargetInvalid means that the target sent an answer that must not be relayed, and that
	// the request must not be sent to another one.
	EndingTargetInvalid // target_invalid
	// EndingTargetBrokeOff means that the target closed the connection, and that the request must not
	// be sent to another one.
	EndingTargetBrokeOff // target_broke_off
)

var (
	// errRelay reports that events could not be written to the caller.
	errRelay = errors.New("relay events")
	// errNotRelayed reports that the front end ended a stream without reading it to its end.
	errNotRelayed = errors.New("stream closed before its end")
)

// attemptHistory is what the decisions about a request tell about its attempts. The zero value is that
// of a request without one.
type attemptHistory struct {
	last         DecisionKind    // of the last decision
	lastErr      error           // of the attempt that failed last; nil without one
	lastRun      answer.RunState // of that attempt
	gaveUpSilent bool            // an attempt was given up since its target was silent
}

// observe adds a decision about the request.
func (h *attemptHistory) observe(d Decision) {
	h.last = d.Kind
	if d.Kind != AttemptFailed || errors.Is(d.Err, upstream.ErrSuperseded) {
		return
	}
	h.lastErr, h.lastRun = d.Err, d.Run
	h.gaveUpSilent = h.gaveUpSilent || errors.Is(d.Err, errGivenUpSilent)
}

// ending returns why the request ended without a complete answer. relayErr is the error of the relay to
// the caller; nil if that had not begun.
func (ar *activeRequest) ending(relayErr error) Ending {
	h := &ar.history
	switch {
	case ar.cutOff():
		return EndingRouterStop
	case ar.interrupted():
		return EndingCallerLeft
	case ar.attempts == 0:
		return EndingNone
	case errors.Is(relayErr, errRelay), errors.Is(relayErr, errNotRelayed):
		return EndingWriteFailed
	case ar.ctx.Err() != nil:
		return EndingTimeOver
	case h.gaveUpSilent:
		return EndingGivenUpSilent
	case h.last == RetryDenied:
		return EndingRetryDenied
	case h.last == Retried:
		return EndingNoTarget
	case ar.attemptsSpent():
		return EndingAttemptsSpent
	case errors.Is(h.lastErr, memory.ErrFull):
		return EndingNoMemory
	case !closedByTarget(h.lastErr):
		return EndingTargetInvalid
	default:
		return EndingTargetBrokeOff
	}
}

// attemptsSpent reports whether the last attempt failed in a way after which the route allows another
// one, but not so many.
func (ar *activeRequest) attemptsSpent() bool {
	return ar.history.lastRun == answer.NotRun || ar.route.Retryable() && len(ar.triedInstances) > 1
}

// closedByTarget reports whether an attempt failed with err because its connection ended, rather than by
// what the target sent.
func closedByTarget(err error) bool {
	var netErr net.Error
	var chunk fasthttp.ErrBrokenChunk
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.As(err, &chunk)
}
