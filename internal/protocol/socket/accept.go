package socket

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// AcceptEstablished accepts all connections that are established at a listener and returns without
// waiting for more. The caller must close the listener right afterwards.
func AcceptEstablished(l any) ([]net.Conn, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access listening socket: %w", err)
	}
	var fds []int
	if err := raw.Control(func(fd uintptr) { fds = acceptAll(int(fd)) }); err != nil {
		return nil, fmt.Errorf("access listening socket: %w", err)
	}
	return newConns(fds)
}

// acceptAll accepts connections until none is left or an error occurs, and returns their file
// descriptors.
func acceptAll(fd int) []int {
	var out []int
	for {
		connFD, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			out = append(out, connFD)
		case !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED):
			return out
		}
	}
}

// newConns returns connections for file descriptors and closes the descriptors.
func newConns(fds []int) ([]net.Conn, error) {
	var out []net.Conn
	var errs error
	for _, connFD := range fds {
		f := os.NewFile(uintptr(connFD), "accepted")
		c, err := net.FileConn(f)
		errs = errors.Join(errs, err, f.Close())
		if err == nil {
			out = append(out, c)
		}
	}
	return out, errs
}
