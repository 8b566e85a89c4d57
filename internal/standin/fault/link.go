package fault

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// segment is the most that a Link carries at once, in bytes.
	segment = 4 << 10
	// linkBuffer is the size of the socket buffers of a Link, in bytes. What they hold has left the sender.
	linkBuffer = 32 << 10
	// stillInterval is the time between two looks at whether a Link carries something again.
	stillInterval = 10 * time.Millisecond
)

// Link forwards connections to a server, over a link of a rate in each direction that all of them share.
type Link struct {
	listener net.Listener
	server   string
	open     atomic.Int64
	up, down Throttle
}

// Throttle carries bytes at a rate, which all its users share. The zero value carries nothing.
type Throttle struct {
	mu       sync.Mutex // guards the fields below
	rate     float64    // bytes per second; 0 carries nothing
	nextFree time.Time
	carried  int64 // bytes
}

// StartLink starts a link to the address of a server, with a rate in bytes per second; 0 carries nothing.
func StartLink(server string, rate float64) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, server: server}
	l.SetRate(rate)
	go l.serve()
	return l, nil
}

// Addr returns the address of the link's near end.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetRate sets the rate in bytes per second; 0 carries nothing.
func (l *Link) SetRate(rate float64) {
	l.up.SetRate(rate)
	l.down.SetRate(rate)
}

// OpenConns returns the number of connections to the server.
func (l *Link) OpenConns() int64 { return l.open.Load() }

// Received returns the number of bytes that the link has carried from the server.
func (l *Link) Received() int64 { return l.down.Carried() }

// Close makes the link take no new connections.
func (l *Link) Close() error { return l.listener.Close() }

func (l *Link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

// connect forwards one connection until it ends.
func (l *Link) connect(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp4", l.server)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	l.open.Add(1)
	defer l.open.Add(-1)
	for _, c := range []net.Conn{near, far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Larger buffers would only make the link less exact.
			_ = tcp.SetReadBuffer(linkBuffer)
			_ = tcp.SetWriteBuffer(linkBuffer)
		}
	}
	ended := make(chan struct{}, 2)
	go l.up.carry(far, near, ended)
	go l.down.carry(near, far, ended)
	<-ended
}

// carry copies from src to dst at the rate, until one of them ends.
func (t *Throttle) carry(dst, src net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, segment)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		t.Pass(n)
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// SetRate sets the rate in bytes per second; 0 carries nothing.
func (t *Throttle) SetRate(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rate = rate
}

// Carried returns the number of bytes that were carried.
func (t *Throttle) Carried() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carried
}

// Pass waits until n bytes are carried.
func (t *Throttle) Pass(n int) {
	for {
		wait, ok := t.schedule(n)
		time.Sleep(wait)
		if ok {
			return
		}
	}
}

// schedule returns how long it takes until n more bytes are carried. It returns false if nothing is carried, and the time
// after which to ask again.
func (t *Throttle) schedule(n int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rate == 0 {
		return stillInterval, false
	}
	if now := time.Now(); t.nextFree.Before(now) {
		t.nextFree = now
	}
	t.nextFree = t.nextFree.Add(time.Duration(float64(n) / t.rate * float64(time.Second)))
	t.carried += int64(n)
	return time.Until(t.nextFree), true
}
