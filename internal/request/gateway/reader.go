package gateway

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

// presenceInterval is the time between checks whether a waiting caller is still there.
const presenceInterval = 2 * time.Second

var (
	errCallerGone = errors.New("caller has gone")
	errWaiting    = errors.New("nothing yet")
)

// reader waits for the events of a run on behalf of one connection.
type reader struct {
	conn  net.Conn
	run   *register.Run
	timer *time.Timer // runs until the next look at the connection
}

// next waits for events from the offset on or the end of the log, and fails when
// the caller has gone.
func (r *reader) next(offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		events, done, fail, err := r.nextWithin(offset)
		if !errors.Is(err, errWaiting) {
			return events, done, fail, err
		}
	}
}

// nextWithin is next, but gives up with errWaiting after a while.
func (r *reader) nextWithin(offset int) ([][]byte, bool, *answer.Error, error) {
	for {
		events, done, fail, changed := r.run.Log().Poll(offset)
		if changed == nil {
			return events, done, fail, nil
		}
		if r.timer == nil {
			r.timer = time.NewTimer(presenceInterval)
		}
		select {
		case <-changed:
		case <-r.timer.C:
			r.timer.Reset(presenceInterval)
			if socket.Peek(r.conn) == socket.Closed {
				return nil, false, nil, errCallerGone
			}
			return nil, false, nil, errWaiting
		}
	}
}

// stop ends the reader's timer.
func (r *reader) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// all waits for the end of the run and returns its events.
func (r *reader) all() ([][]byte, *answer.Error, error) {
	defer r.stop()
	var events [][]byte
	for {
		more, done, fail, err := r.next(len(events))
		if err != nil || fail != nil {
			return nil, fail, err
		}
		events = append(events, more...)
		if done {
			return events, nil, nil
		}
	}
}
