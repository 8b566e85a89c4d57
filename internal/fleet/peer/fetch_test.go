package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const methodLarge = "large"

// slowProxy forwards connections to an address and carries the replies at a rate.
type slowProxy struct {
	bytesPerSecond atomic.Int64 // 0 carries nothing
	open           atomic.Int64 // connections to the address
}

func (p *slowProxy) start(t *testing.T, serverAddr string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", serverAddr)
			if err != nil {
				_ = client.Close()
				return
			}
			p.open.Add(1)
			go func() {
				defer p.open.Add(-1)
				p.carryReplies(client, server)
			}()
			go func() {
				buf := make([]byte, 4<<10)
				for {
					n, err := client.Read(buf)
					if err != nil {
						_ = server.Close()
						return
					}
					if _, err := server.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// carryReplies copies what the server sends in parts of a hundredth of a second.
func (p *slowProxy) carryReplies(client, server net.Conn) {
	defer func() { _ = client.Close() }()
	defer func() { _ = server.Close() }()
	for {
		size := p.bytesPerSecond.Load() / 100
		time.Sleep(10 * time.Millisecond)
		if size == 0 {
			continue
		}
		buf := make([]byte, size)
		n, err := server.Read(buf)
		if err != nil {
			return
		}
		if _, err := client.Write(buf[:n]); err != nil {
			return
		}
	}
}

func randomText(size int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for text.Len() < size {
		text.WriteByte(byte('a' + random.IntN(26)))
	}
	return text.String()
}

// startSlowPeer returns the address of a router with a large reply behind a link of the rate.
func startSlowPeer(t *testing.T, size int, bytesPerSecond int64) (*slowProxy, string) {
	t.Helper()
	text := randomText(size)
	handlers := map[string]Handler{
		methodLarge: func(context.Context, json.RawMessage) (any, error) { return text, nil },
		methodEcho:  echo,
	}
	p := &slowProxy{}
	p.bytesPerSecond.Store(bytesPerSecond)
	return p, p.start(t, startServer(t, &Transport{Handlers: handlers}))
}

// TestLargeReplyOverANarrowLink guards against replies that are given up after a fixed time although they arrive.
func TestLargeReplyOverANarrowLink(t *testing.T) {
	const size = 400_000
	_, addr := startSlowPeer(t, size, size/2) // two seconds, twice the time of a call
	client := newClient(nil)
	var out string
	assert.NilError(t, client.Fetch(context.Background(), addr, methodLarge, nil, &out))
	assert.Equal(t, len(out), size)
}

// TestLargeReplyHoldsUpNoOtherCalls guards against heartbeats that wait behind a large reply until they count as lost.
func TestLargeReplyHoldsUpNoOtherCalls(t *testing.T) {
	const size = 400_000
	_, addr := startSlowPeer(t, size, size/3)
	client := newClient(nil)
	assertEcho(t, client, addr)
	fetched := make(chan error)
	go func() {
		var out string
		fetched <- client.Fetch(context.Background(), addr, methodLarge, nil, &out)
	}()
	for calls := 0; ; calls++ {
		select {
		case err := <-fetched:
			assert.NilError(t, err)
			assert.Assert(t, calls > 0)
			return
		default:
			assertEcho(t, client, addr)
		}
	}
}

// TestReplyThatStopsIsGivenUp guards against a router that waits for ever for the rest of a reply, and that lets the peer
// go on sending what nobody waits for.
func TestReplyThatStopsIsGivenUp(t *testing.T) {
	const size = 4_000_000
	p, addr := startSlowPeer(t, size, 500_000)
	client := newClient(nil)
	time.AfterFunc(time.Second, func() { p.bytesPerSecond.Store(0) })
	var out string
	err := client.Fetch(context.Background(), addr, methodLarge, nil, &out)
	assert.Assert(t, errors.Is(err, errNoProgress), "%v", err)
	p.bytesPerSecond.Store(100_000_000)
	for p.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}
