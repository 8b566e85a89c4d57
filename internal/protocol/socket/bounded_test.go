package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails a number of times to accept, for a reason that passes.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestBoundedListener(t *testing.T) {
	const most = 2
	raw, err := Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: raw}
	failing.failures.Store(3)
	var closed, failed atomic.Int64
	l := &BoundedListener{
		Listener: failing, MaxConns: most,
		OnClosed: func() { closed.Add(1) }, OnError: func(error) { failed.Add(1) },
	}
	ends := make(chan error, most+1)
	for n := range most + 1 {
		conn, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		accepted, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = accepted.Close() }()
		if n == 0 {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			go func() {
				_, err := conn.Read(make([]byte, 1))
				ends <- err
			}()
		}
	}
	assert.Equal(t, failed.Load(), int64(3))
	assert.Equal(t, closed.Load(), int64(1))
	assert.ErrorIs(t, <-ends, io.EOF)
	assert.NilError(t, raw.Close())
	_, err = l.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
}
