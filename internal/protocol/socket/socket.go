package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

//go:generate ../../../bin/stringer -type=State -linecomment

// State is what waits at this end of a connection.
type State int

// The states of a connection.
const (
	Quiet  State = iota // quiet
	Data                // data
	Closed              // closed
)

// Peek returns what waits on the connection. One that can not be asked counts as quiet.
func Peek(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	var n int
	var peekErr error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed
	case errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR):
		return Quiet
	case peekErr != nil || n == 0:
		return Closed
	default:
		return Data
	}
}

// Dialer opens connections that notice a silent peer.
type Dialer struct {
	// Timeout bounds the time until a connection stands.
	Timeout time.Duration
	// Silence is how long the peer may leave what was sent without a sign of life.
	Silence time.Duration
}

// Dial opens a TCP connection to an IP address and port.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   d.Timeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return d.limitSilence(raw)
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return conn, nil
}

// limitSilence makes the system give up a connection on which nothing is acknowledged.
func (d Dialer) limitSilence(raw syscall.RawConn) error {
	if d.Silence == 0 {
		return nil
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Silence.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
