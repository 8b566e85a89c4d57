package report

import (
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/standin/fault"
	"rosevalve/internal/workspace/catalogue"
)

// serveEngine serves the load and the cache events of an engine and returns its address.
func serveEngine(t *testing.T, load, events string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		_ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/load" {
				ctx.SetBodyString(load)
				return
			}
			ctx.SetBodyString(events)
		})
	}()
	return l.Addr().String()
}

// TestOddReportsAreIgnored guards against a load that overflows, and makes an engine look idle,
// and against reports without an end.
func TestOddReportsAreIgnored(t *testing.T) {
	deep := strings.Repeat("[", 2_000_000)
	for name, report := range map[string]struct{ load, events string }{
		"negative":      {load: `{"running":-1,"waiting":0}`},
		"sum overflows": {load: `{"running":9223372036854775807,"waiting":9223372036854775807}`},
		"huge":          {load: `{"running":0,"waiting":9223372036854775807}`},
		"number":        {load: `{"running":1e400}`},
		"text":          {load: `{"running":"1"}`},
		"null":          {load: `null`},
		"nested":        {load: deep},
		"nested events": {load: `{"running":1,"waiting":1}`, events: deep},
		"odd events":    {load: `{"running":1,"waiting":1}`, events: `[{"number":1e400}]`},
		"large events":  {load: `{"running":1,"waiting":1}`, events: "[" + strings.Repeat(" ", maxReportBytes) + `{"number":1,"prefix":1,"stored":true}]`},
	} {
		t.Run(name, func(t *testing.T) {
			var loads []int
			p := &Poller{
				OnLoad:       func(_ string, requests int) { loads = append(loads, requests) },
				OnCacheEvent: func(string, uint64, bool) { t.Error("an odd event counts") },
			}
			p.init()
			p.poll(serveEngine(t, report.load, report.events))
			if report.events == "" {
				assert.Equal(t, len(loads), 0, "%v", loads)
				return
			}
			assert.DeepEqual(t, loads, []int{2})
		})
	}
}

// TestBrokenHeadOfAnEngine guards against bytes whose head is no head of HTTP/1 being taken for a report, or for a sign that
// an engine is well.
func TestBrokenHeadOfAnEngine(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			text := head.Answer("", `{"running":1,"waiting":1}`)
			s, err := fault.StartRawServer(func(int, *fasthttp.Request) (string, bool) { return text, false })
			assert.NilError(t, err)
			t.Cleanup(func() { _ = s.Close() })
			p := &Poller{OnLoad: func(string, int) { t.Error("the report counts") }}
			p.init()
			p.poll(s.Addr())
			assert.Assert(t, p.Probe(catalogue.Target{Addr: s.Addr()}) != nil)
		})
	}
}
