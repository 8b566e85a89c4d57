package router

import (
	"net"
	"slices"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/workspace/operator"
)

// vmListClient returns a client of a platform that answers every request with the status
// and the body.
func vmListClient(t *testing.T, status int, body string) *vmlist.Client {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	dial := func(string) (net.Conn, error) { return listener.Dial() }
	return &vmlist.Client{Addr: "10.0.0.1:80", HTTP: &fasthttp.Client{Dial: dial}}
}

func TestVMTable(t *testing.T) {
	t.Run("what the platform lists", func(t *testing.T) {
		body := `{"vms":[{"addr":"10.0.0.7","failure_domain":"fd-1"},{"addr":"10.0.0.8","failure_domain":"fd-2","leaving":true}]}`
		table, err := vmTable(t.Context(), vmListClient(t, fasthttp.StatusOK, body))
		assert.NilError(t, err)
		assert.Assert(t, slices.EqualFunc(table.Rows, [][]operator.Cell{
			{operator.TextCell("10.0.0.7"), operator.TextCell("fd-1"), operator.BoolCell(false)},
			{operator.TextCell("10.0.0.8"), operator.TextCell("fd-2"), operator.BoolCell(true)},
		}, slices.Equal), "rows: %v", table.Rows)
	})
	t.Run("platform down", func(t *testing.T) {
		_, err := vmTable(t.Context(), vmListClient(t, fasthttp.StatusServiceUnavailable, ""))
		assert.ErrorContains(t, err, "503")
	})
}
