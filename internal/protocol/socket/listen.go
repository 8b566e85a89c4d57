package socket

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Listen opens a listener at an IPv4 address and port. Its connections are plain TCP, since
// multipath TCP does not take the options of other calls of this package.
func Listen(addr string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l, nil
}

const (
	flagsOffset = 13 // of the flags in a TCP header, in bytes
	flagSYN     = 0x02
	flagACK     = 0x10
	wholePacket = 1 << 16 // more bytes than any packet has
)

// dropSYN is a packet filter that drops what begins a handshake.
var dropSYN = []bpf.Instruction{
	bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSYN | flagACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: flagSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: wholePacket},
}

// DropHandshakes lets a listener ignore who connects from now on. Handshakes that have
// begun go on to their end.
func DropHandshakes(l any) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the listening socket: %w", err)
	}
	code, err := bpf.Assemble(dropSYN)
	if err != nil {
		return fmt.Errorf("assemble packet filter: %w", err)
	}
	filter := make([]unix.SockFilter, len(code))
	for i, c := range code {
		filter[i] = unix.SockFilter{Code: c.Op, Jt: c.Jt, Jf: c.Jf, K: c.K}
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = os.NewSyscallError("setsockopt", unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
	})
	if err != nil {
		return fmt.Errorf("reach the listening socket: %w", err)
	}
	return optErr
}
