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

// State is the state of the receiving side of a connection.
type State int

// The states of a connection.
const (
	// Quiet means that no data has been received, Data that data waits to be read, and Closed
	// that the peer has closed the connection or that it has failed.
	Quiet  State = iota // quiet
	Data                // data
	Closed              // closed
)

// Peek returns the state of a connection without reading from it. It returns Quiet for a
// connection that gives no access to its socket.
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

// Unacknowledged returns how many bytes were written to a connection that its peer has not acknowledged. The error is that of
// the system, or says that the connection gives no access to its socket.
func Unacknowledged(conn net.Conn) (int, error) {
	var n int
	err := control(conn, func(fd int) error {
		var err error
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("read size of send queue: %w", err)
	}
	return n, nil
}

// IsReset reports whether a connection has failed or was reset by the peer, rather than closed by it in order. It reports
// false for a connection that gives no access to its socket.
func IsReset(conn net.Conn) bool {
	reset := false
	err := control(conn, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
		return err
	})
	return err == nil && reset
}

// Dialer opens connections that fail when the peer stops acknowledging data.
type Dialer struct {
	// Timeout bounds the time to establish a connection.
	Timeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the system closes the
	// connection; 0 stands for the system's default.
	UserTimeout time.Duration
}

// Dial opens a TCP connection to an IPv4 address and port.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   d.Timeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return d.setUserTimeout(raw)
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return conn, nil
}

// Refuses reports whether the host at addr is reachable and no process listens there. ctx bounds the
// attempt to connect.
func Refuses(ctx context.Context, addr string) bool {
	conn, err := (Dialer{}).Dial(ctx, addr)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// setUserTimeout sets the time after which the system closes a connection whose sent data is
// not acknowledged.
func (d Dialer) setUserTimeout(raw syscall.RawConn) error {
	if d.UserTimeout == 0 {
		return nil
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
