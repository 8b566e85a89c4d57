package socket

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// AcceptRest accepts the connections that are established at a listener, and returns when
// there is none. The listener is to be closed right after it.
func AcceptRest(l any) ([]net.Conn, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("reach the listening socket: %w", err)
	}
	var accepted []int
	if err := raw.Control(func(fd uintptr) { accepted = acceptAll(int(fd)) }); err != nil {
		return nil, fmt.Errorf("reach the listening socket: %w", err)
	}
	return connsOf(accepted)
}

// acceptAll accepts until there is no connection.
func acceptAll(fd int) []int {
	var out []int
	for {
		n, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			out = append(out, n)
		case !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED):
			return out
		}
	}
}

// connsOf makes connections of descriptors, which it takes over.
func connsOf(descriptors []int) ([]net.Conn, error) {
	var out []net.Conn
	var failed error
	for _, n := range descriptors {
		f := os.NewFile(uintptr(n), "accepted")
		c, err := net.FileConn(f)
		failed = errors.Join(failed, err, f.Close())
		if err == nil {
			out = append(out, c)
		}
	}
	return out, failed
}
