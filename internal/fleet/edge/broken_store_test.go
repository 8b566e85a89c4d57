package edge

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/fleet/settings"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/standin/fault"
)

// storePage is the body of an answer of the store to any call.
const storePage = `{"rows":[{"table":"t","part":"","key":"k","value":"e30=","ver":7}],"more_pages":false,"ver":9,"now_ms":5}`

// storeTimeout bounds the calls to the store.
const storeTimeout = 2 * time.Second

// rawStore returns a router that is connected to a store which gives the same answer to all calls.
func rawStore(t *testing.T, answer string) *Edge {
	t.Helper()
	s, err := fault.StartRawServer(func(int, *fasthttp.Request) (string, bool) { return answer, false })
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return connectedTo(s.Addr())
}

// connectedTo returns a router that is connected to the store at an address.
func connectedTo(addr string) *Edge {
	e := &Edge{Settings: settings.Settings{Platform: settings.Platform{Addr: addr}}}
	e.connectStore()
	return e
}

// assertStoreUnreadable checks that the router takes the store's answers for none: a commit may have been applied, and a read has failed.
func assertStoreUnreadable(t *testing.T, e *Edge) {
	t.Helper()
	_, err := e.store.Commit(t.Context(), table.Commit{}, storeTimeout)
	var conflict *table.ConflictError
	assert.Assert(t, !errors.As(err, &conflict))
	assert.ErrorIs(t, err, table.ErrUnknownOutcome)
	_, err = e.store.Read(t.Context(), table.Range{Table: "t"}, storeTimeout)
	assert.ErrorIs(t, err, table.ErrUnavailable)
	_, err = e.store.Watch(t.Context(), table.Poll{Table: "t"}, storeTimeout)
	assert.ErrorIs(t, err, table.ErrUnavailable)
}

// TestBrokenHeadOfTheStore guards against bytes whose head is no head of HTTP/1 being taken for an answer of the store, and
// so a commit for applied.
func TestBrokenHeadOfTheStore(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		t.Run(head.Name(), func(t *testing.T) { assertStoreUnreadable(t, rawStore(t, head.Answer("", storePage))) })
	}
}

// TestUnusualHeadOfTheStore checks that an answer of the store with a head which is unusual but sound counts.
func TestUnusualHeadOfTheStore(t *testing.T) {
	for _, head := range fault.SoundHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			e := rawStore(t, head.Answer("Connection: close\r\n", storePage))
			stamp, err := e.store.Commit(t.Context(), table.Commit{}, storeTimeout)
			assert.NilError(t, err)
			assert.Equal(t, stamp.Version, uint64(9))
			page, err := e.store.Read(t.Context(), table.Range{Table: "t"}, storeTimeout)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Rows), 1)
		})
	}
}

// TestUnreadableBodyOfTheStore guards against a body that says nothing being taken for an answer of the store, and so a commit
// for applied.
func TestUnreadableBodyOfTheStore(t *testing.T) {
	for _, body := range []string{"", "null", "{}", "[]", "0", `{"ver":null}`, `{"rows":[]}`, storePage[:len(storePage)-1]} {
		t.Run(body, func(t *testing.T) {
			assertStoreUnreadable(t, rawStore(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		})
	}
}

// TestResetOfTheStoreLooksLikeTheEnd guards against an answer without a length being taken for complete although the store resets
// the connection, during the upload of the commit or behind it.
func TestResetOfTheStoreLooksLikeTheEnd(t *testing.T) {
	for _, size := range []int{10, 8 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes/%v", size, pause), func(t *testing.T) {
				t.Parallel()
				e := connectedTo(startHastyStore(t, pause))
				_, err := e.store.Commit(t.Context(), table.Commit{Puts: []table.Put{{Value: make([]byte, size)}}}, storeTimeout)
				assert.ErrorIs(t, err, table.ErrUnknownOutcome)
			})
		}
	}
}

// startHastyStore starts a store that answers a call at once, before it has read it, and resets the connection after a pause.
// It returns its address.
func startHastyStore(t *testing.T, pause time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+storePage)
		time.Sleep(pause)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}()
	return l.Addr().String()
}
