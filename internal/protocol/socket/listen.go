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

// Listen opens a TCP listener on an IPv4 address and port. It disables multipath TCP, whose
// sockets do not support the options that other functions of this package set.
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
	tcpFlagsOffset    = 13 // byte offset of the flags in the TCP header
	flagSYN           = 0x02
	flagACK           = 0x10
	acceptWholePacket = 1 << 16 // number of bytes to keep; larger than any packet
)

// dropSYN is a packet filter that drops segments with SYN but not ACK, which start a
// handshake.
var dropSYN = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: flagSYN | flagACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: flagSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: acceptWholePacket},
}

// DropHandshakes makes a listener ignore new connection attempts. Handshakes that have already
// started can complete.
func DropHandshakes(l any) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("access listening socket: %w", err)
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
		return fmt.Errorf("access listening socket: %w", err)
	}
	return optErr
}
