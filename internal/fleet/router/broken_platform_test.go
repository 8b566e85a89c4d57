package router

import (
	"testing"

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
			addr, client := startRawPlatform(t, head.Answer("", platformAnswer)), newPlatformHTTP()
			rows := &table.Client{Addr: addr, HTTP: client}
			_, err := rows.Commit(t.Context(), table.Commit{})
			assert.ErrorIs(t, err, table.ErrUnknownOutcome)
			_, err = rows.Get(t.Context(), "k")
			assert.ErrorIs(t, err, table.ErrUnavailable)
			_, err = rows.Scan(t.Context(), "k", "", 1)
			assert.ErrorIs(t, err, table.ErrUnavailable)
			assert.Assert(t, (&object.Client{Addr: addr, HTTP: client}).Put(t.Context(), "a", nil) != nil)
			_, err = (&vmlist.Client{Addr: addr, HTTP: client}).List(t.Context())
			assert.Assert(t, err != nil)
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
