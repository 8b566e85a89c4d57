package router

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/object"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/standin/fault"
)

// platformAnswer is the body of an answer of the platform to any call.
const platformAnswer = `{"version":9,"rows":[],"vms":[]}`

// startRawPlatform starts a platform that gives the same answer to all calls, and returns its address.
func startRawPlatform(t *testing.T, answer string) string {
	t.Helper()
	s, err := fault.StartRawServer(func(int, *fasthttp.Request) (string, bool) { return answer, false })
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s.Addr()
}

// TestBrokenHeadOfThePlatform guards against bytes whose head is no head of HTTP/1 being taken for an answer of the platform,
// and so a commit for applied.
func TestBrokenHeadOfThePlatform(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			addr := startRawPlatform(t, head.Answer("", platformAnswer))
			assertPlatformUnreadable(t, addr)
			assert.Assert(t, (&object.Client{Addr: addr, HTTP: newPlatformHTTP()}).Put(t.Context(), "a", nil) != nil)
		})
	}
}

// assertPlatformUnreadable checks that the answers of the platform are taken for none: a commit may have been applied, and
// reads have failed.
func assertPlatformUnreadable(t *testing.T, addr string) {
	t.Helper()
	client := newPlatformHTTP()
	rows := &table.Client{Addr: addr, HTTP: client}
	_, err := rows.Commit(t.Context(), table.Commit{})
	assert.ErrorIs(t, err, table.ErrUnknownOutcome)
	_, err = rows.Get(t.Context(), "k")
	assert.ErrorIs(t, err, table.ErrUnavailable)
	_, err = rows.Scan(t.Context(), "k", "", 1)
	assert.ErrorIs(t, err, table.ErrUnavailable)
	vms, err := (&vmlist.Client{Addr: addr, HTTP: client}).List(t.Context())
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, vmlist.ErrIncomplete), "%v", vms)
}

// TestUnreadableBodyOfThePlatform guards against a body that says nothing being taken for an answer of the platform: a commit
// for applied, a table for empty, or all VMs for gone.
func TestUnreadableBodyOfThePlatform(t *testing.T) {
	for _, body := range []string{"", "null", "{}", "[]", "0", `{"version":null}`, `{"rows":0,"vms":0}`, platformAnswer[:len(platformAnswer)-1]} {
		t.Run(body, func(t *testing.T) {
			assertPlatformUnreadable(t, startRawPlatform(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		})
	}
}

// TestUnusualHeadOfThePlatform checks that an answer of the platform with a head which is unusual but sound counts.
func TestUnusualHeadOfThePlatform(t *testing.T) {
	for _, head := range fault.SoundHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			addr, client := startRawPlatform(t, head.Answer("Connection: close\r\n", platformAnswer)), newPlatformHTTP()
			version, err := (&table.Client{Addr: addr, HTTP: client}).Commit(t.Context(), table.Commit{})
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(9))
			_, err = (&vmlist.Client{Addr: addr, HTTP: client}).List(t.Context())
			assert.NilError(t, err)
		})
	}
}
