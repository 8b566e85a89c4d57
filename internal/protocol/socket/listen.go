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

// Listen opens a TCP listener on an address and port; network is that of net.Listen. It disables
// multipath TCP, whose sockets do not support the options that other functions of this package set.
func Listen(network, addr string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), network, addr)
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
	code, err := bpf.Assemble(dropSYN)
	if err != nil {
		return fmt.Errorf("assemble packet filter: %w", err)
	}
	filter := make([]unix.SockFilter, len(code))
	for i, c := range code {
		filter[i] = unix.SockFilter{Code: c.Op, Jt: c.Jt, Jf: c.Jf, K: c.K}
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(l, func(fd int) error {
		return os.NewSyscallError("attach packet filter: setsockopt", unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program))
	})
}

// maxTTL is the largest time to live of a packet. Hosts send with less, 64 as a rule.
const maxTTL = 255

// DropHandshakesByTTL makes a listener ignore new connection attempts of hosts that send with less than
// maxTTL, by the minimum time to live that it accepts. Handshakes that have already started can
// complete, but what arrives on such a connection is dropped, and sent again by the peer, until
// AcceptAnyTTL is called on it.
func DropHandshakesByTTL(l any) error {
	return control(l, func(fd int) error { return setMinTTL(fd, maxTTL) })
}

// AcceptAnyTTL undoes DropHandshakesByTTL for a connection, which inherits it from its listener.
func AcceptAnyTTL(conn any) error {
	return control(conn, func(fd int) error { return setMinTTL(fd, 0) })
}

// setMinTTL sets the minimum time to live of the packets that a socket receives, over IPv4 and IPv6.
func setMinTTL(fd, ttl int) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_MINTTL, ttl); err != nil {
		return os.NewSyscallError("set minimum time to live: setsockopt", err)
	}
	domain, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DOMAIN)
	if err != nil {
		return os.NewSyscallError("getsockopt", err)
	}
	if domain != unix.AF_INET6 {
		return nil
	}
	return os.NewSyscallError("set minimum hop count: setsockopt", unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT, ttl))
}

// control calls do with the file descriptor of a connection or listener.
func control(s any, do func(fd int) error) error {
	socket, ok := s.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	var doErr error
	if err := raw.Control(func(fd uintptr) { doErr = do(int(fd)) }); err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	return doErr
}
