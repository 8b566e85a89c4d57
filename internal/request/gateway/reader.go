package gateway

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

// connCheckInterval is the time between checks whether the connection of a waiting
// caller is still open.
const connCheckInterval = 2 * time.Second

var (
	errCallerGone = errors.New("caller closed the connection")
	errNoEvents   = errors.New("no events yet")
)

// callerGoneError returns the answer to a caller that has closed its connection. It reaches one that
// has only closed its sending side, and must not look complete.
func callerGoneError() *answer.Error {
	return &answer.Error{
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    "cancelled",
		Message: "the caller closed the connection before the answer",
		Run:     answer.Unknown,
	}
}

// eventReader reads the events of a run for one connection and notices when that
// connection is closed.
type eventReader struct {
	conn       net.Conn
	run        *register.Run
	checkTimer *time.Timer // fires at the next check of conn; created by the first wait
}

// next waits until the log has events from the offset on or has ended. It returns the
// events, whether the log ends after them, and the error that it ended with. The last
// result is errCallerGone if the caller closed the connection.
func (r *eventReader) next(offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		events, done, apiErr, err := r.nextOrTimeout(offset)
		if !errors.Is(err, errNoEvents) {
			return events, done, apiErr, err
		}
	}
}

// nextOrTimeout is like next, but returns errNoEvents if the caller is still connected
// at the next check of the connection.
func (r *eventReader) nextOrTimeout(offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		events, done, apiErr, changed := r.run.Log().Poll(offset)
		if changed == nil {
			return events, done, apiErr, nil
		}
		if r.checkTimer == nil {
			r.checkTimer = time.NewTimer(connCheckInterval)
		}
		select {
		case <-changed:
		case <-r.checkTimer.C:
			r.checkTimer.Reset(connCheckInterval)
			if socket.Peek(r.conn) == socket.Closed {
				return nil, false, nil, errCallerGone
			}
			return nil, false, nil, errNoEvents
		}
	}
}

// stopTimer stops the timer of the connection checks.
func (r *eventReader) stopTimer() {
	if r.checkTimer != nil {
		r.checkTimer.Stop()
	}
}

// readAll waits for the end of the run and returns its events, or the error that it
// ended with.
func (r *eventReader) readAll() ([][]byte, *answer.Error, error) {
	defer r.stopTimer()
	var events [][]byte
	for {
		more, done, apiErr, err := r.next(len(events))
		if err != nil || apiErr != nil {
			return nil, apiErr, err
		}
		events = append(events, more...)
		if done {
			return events, nil, nil
		}
	}
}
