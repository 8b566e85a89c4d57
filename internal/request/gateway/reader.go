package gateway

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

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
			if gone(r.conn) {
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

// gone reports whether the other end has closed the connection.
//
// It looks at the socket's buffer without taking anything out of it.
func gone(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true
	case errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR):
		return false
	default:
		return peekErr != nil || n == 0
	}
}
