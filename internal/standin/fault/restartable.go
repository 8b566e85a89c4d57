package fault

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// relistenInterval is the time between attempts to listen again at an address.
const relistenInterval = 5 * time.Millisecond

// Restartable is a TCP listener that can refuse connections for a time, like a host on which no
// process is running.
type Restartable struct {
	addr net.Addr

	mu      sync.Mutex    // guards the fields below
	current net.Listener  // closed while connections are refused
	resumed chan struct{} // closed when connections are accepted again; nil while they are
	closed  bool
}

// Listen returns a listener at a TCP address.
func Listen(addr string) (*Restartable, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &Restartable{addr: l.Addr(), current: l}, nil
}

// Addr returns the address, which stays the same.
func (l *Restartable) Addr() net.Addr { return l.addr }

// Accept waits for a connection, also while connections are refused.
func (l *Restartable) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		current, resumed, closed := l.current, l.resumed, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case resumed != nil:
			<-resumed
			continue
		}
		conn, err := current.Accept()
		if err == nil || !errors.Is(err, net.ErrClosed) {
			return conn, err
		}
	}
}

// RefuseFor refuses connections for a time. It has no effect while they are refused already.
func (l *Restartable) RefuseFor(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.resumed != nil {
		return
	}
	l.resumed = make(chan struct{})
	_ = l.current.Close()
	time.AfterFunc(d, l.resume)
}

// resume accepts connections again. It retries until the address is free.
func (l *Restartable) resume() {
	for !l.tryResume() {
		time.Sleep(relistenInterval)
	}
}

// tryResume listens at the address again and reports whether nothing is left to do.
func (l *Restartable) tryResume() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true
	}
	current, err := net.Listen("tcp4", l.addr.String())
	if err != nil {
		return false
	}
	l.current = current
	close(l.resumed)
	l.resumed = nil
	return true
}

// Close closes the listener.
func (l *Restartable) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
		return nil
	}
	return l.current.Close()
}
