package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/standin/fault"
)

const methodLarge = "large"

func randomText(size int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for text.Len() < size {
		text.WriteByte(byte('a' + random.IntN(26)))
	}
	return text.String()
}

// startNarrowPeer starts a router with a large reply behind a link of a rate in bytes per second.
func startNarrowPeer(t *testing.T, size int, rate float64) *fault.Link {
	t.Helper()
	text := randomText(size)
	l, err := fault.StartLink(startServer(t, &Transport{Handlers: map[string]Handler{
		methodLarge: func(context.Context, json.RawMessage) (any, error) { return text, nil },
		methodEcho:  echo,
	}}), rate)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestLargeReplyOverANarrowLink guards against replies that are given up after a fixed time although they arrive.
func TestLargeReplyOverANarrowLink(t *testing.T) {
	const size = 400_000
	addr := startNarrowPeer(t, size, size/2).Addr() // two seconds, twice the time of a call
	client := newClient(nil)
	var out string
	assert.NilError(t, client.Fetch(context.Background(), addr, methodLarge, nil, &out))
	assert.Equal(t, len(out), size)
}

// TestLargeReplyHoldsUpNoOtherCalls guards against heartbeats that wait behind a large reply until they count as lost.
func TestLargeReplyHoldsUpNoOtherCalls(t *testing.T) {
	const size = 400_000
	addr := startNarrowPeer(t, size, size/3).Addr()
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
	l := startNarrowPeer(t, size, 500_000)
	client := newClient(nil)
	time.AfterFunc(time.Second, func() { l.SetRate(0) })
	var out string
	err := client.Fetch(context.Background(), l.Addr(), methodLarge, nil, &out)
	assert.Assert(t, errors.Is(err, errNoProgress), "%v", err)
	l.SetRate(100_000_000)
	for l.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestRepliesThatBeginLateAreWaitedFor guards against a router that is too busy to get a reply within a fixed time, and
// asks for it again and again.
func TestRepliesThatBeginLateAreWaitedFor(t *testing.T) {
	addr := startServer(t, &Transport{Handlers: map[string]Handler{
		methodLarge: func(context.Context, json.RawMessage) (any, error) {
			time.Sleep(callTimeout + callTimeout/2)
			return "late", nil
		},
	}})
	client := newClient(nil)
	var out string
	assert.Assert(t, client.Fetch(context.Background(), addr, methodLarge, nil, &out) != nil)
	assert.NilError(t, client.Fetch(context.Background(), addr, methodLarge, nil, &out))
	assert.Equal(t, out, "late")
}
