package socket

import (
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// AcceptLast accepts all connections that are established at a listener and makes it take no more. The
// caller must close the listener.
func AcceptLast(l any) ([]net.Conn, error) {
	var fds []int
	err := control(l, func(fd int) error {
		// A connection that is established between the two calls is reset.
		fds = acceptAll(fd)
		return os.NewSyscallError("shutdown", unix.Shutdown(fd, unix.SHUT_RDWR))
	})
	conns, connErr := newConns(fds)
	return conns, errors.Join(err, connErr)
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

// IsTransient reports whether an error of Accept may pass, such as a lack of descriptors or memory.
func IsTransient(err error) bool {
	for _, transient := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
