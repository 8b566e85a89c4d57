package rosevalve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/standin/fault"
	"rosevalve/internal/workspace/operator"
)

// fakeRouter is a router that answers every command with the same status and body, and
// keeps the commands.
type fakeRouter struct {
	status int
	body   string

	mu       sync.Mutex // guards requests
	requests []operator.Request
}

func (f *fakeRouter) handle(ctx *fasthttp.RequestCtx) {
	var req operator.Request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, req)
	ctx.SetStatusCode(f.status)
	ctx.SetBodyString(f.body)
}

// listen serves the fake router on a loopback address, which it returns.
func (f *fakeRouter) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: f.handle}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

// oneRow is the response body of a table with one row.
const oneRow = `{"columns":[{"name":"name","unit":"text"},{"name":"tokens","unit":"tokens"}],"rows":[["veneer",5000000]]}`

// runCtl runs the subcommand ctl and returns what it prints and its error.
func runCtl(t *testing.T, stdin string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	sub := ctlCommand(strings.NewReader(stdin), &out)
	assert.NilError(t, sub.command.Parse(args, sub.options...))
	err := sub.command.Run(t.Context())
	return out.String(), err
}

func TestCtlFollowsAnotherRouter(t *testing.T) {
	timedOut := &fakeRouter{status: fasthttp.StatusGatewayTimeout, body: `{"error":{"message":"unknown"}}`}
	healthy := &fakeRouter{status: fasthttp.StatusOK, body: oneRow}
	unreachable := "127.0.0.1:1"
	out, err := runCtl(t, "", "--router", unreachable+","+timedOut.listen(t)+","+healthy.listen(t), "show budgets")
	assert.NilError(t, err)
	assert.Equal(t, out, "name    tokens\nveneer  5,000,000\n")
	assert.Equal(t, timedOut.requests[0].CommandID, healthy.requests[0].CommandID)
}

// TestCtlBrokenHead guards against bytes whose head is no head of HTTP/1 being taken for the result of a command.
func TestCtlBrokenHead(t *testing.T) {
	for _, head := range fault.BrokenHeads() {
		t.Run(head.Name(), func(t *testing.T) {
			broken, err := fault.StartRawServer(func(int, *fasthttp.Request) (string, bool) { return head.Answer("", oneRow), false })
			assert.NilError(t, err)
			defer func() { _ = broken.Close() }()
			_, err = (&ctlClient{}).post(broken.Addr(), nil)
			assert.ErrorIs(t, err, errRetryable)
		})
	}
}

// TestCtlUnreadableResult guards against a command that may have failed being reported as done, since the answer to it says
// nothing.
func TestCtlUnreadableResult(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "0", oneRow[:len(oneRow)-1]} {
		t.Run(body, func(t *testing.T) {
			odd := &fakeRouter{status: fasthttp.StatusOK, body: body}
			_, err := (&ctlClient{}).post(odd.listen(t), []byte(`{"command":"show budgets"}`))
			assert.ErrorIs(t, err, errRetryable)
		})
	}
}

func TestCtlOutput(t *testing.T) {
	healthy := &fakeRouter{status: fasthttp.StatusOK, body: oneRow}
	addr := healthy.listen(t)
	assertOutput(t, "name    tokens\nveneer  5000000\n", "--router", addr, "--output", "plain", "show budgets")
	assertOutput(t, oneRow+"\n", "--router", addr, "--output", "json", "show budgets")
	_, err := runCtl(t, "", "--router", addr, "--output", "xml", "show budgets")
	assert.ErrorContains(t, err, `output "xml" does not exist`)
}

// assertOutput fails the test unless ctl succeeds and prints want.
func assertOutput(t *testing.T, want string, args ...string) {
	t.Helper()
	out, err := runCtl(t, "", args...)
	assert.NilError(t, err)
	assert.Equal(t, out, want)
}

func TestCtlFileStopsAtRefusal(t *testing.T) {
	refusing := &fakeRouter{status: fasthttp.StatusBadRequest, body: `{"error":{"message":"no"}}`}
	file := filepath.Join(t.TempDir(), "commands")
	assert.NilError(t, os.WriteFile(file, []byte("# comment\n\nshow budgets\nshow bills\n"), 0o600))
	_, err := runCtl(t, "", "--router", refusing.listen(t), "--file", file)
	assert.Error(t, err, "line 3: refused: no")
	assert.Equal(t, len(refusing.requests), 1)
}

func TestCtlConfirmsWhatDestroys(t *testing.T) {
	healthy := &fakeRouter{status: fasthttp.StatusOK, body: `{"message":"done"}`}
	addr := healthy.listen(t)
	_, err := runCtl(t, "", "--router", addr, `delete workspace "veneer"`)
	assert.ErrorContains(t, err, "confirm it with --yes")
	assert.Equal(t, len(healthy.requests), 0)
	_, err = runCtl(t, "", "--router", addr, "--yes", `delete workspace "veneer"`)
	assert.NilError(t, err)
}

func TestCtlPrompt(t *testing.T) {
	healthy := &fakeRouter{status: fasthttp.StatusOK, body: `{"message":"done"}`}
	var out bytes.Buffer
	c := &ctl{routers: healthy.listen(t), output: formatTable, stdout: &out, interactive: true}
	c.stdin = bufio.NewReader(strings.NewReader("show budgets\n!!\n!7\nsho?\ndelete workspace \"w\"\nno\nhistory\nexit\n"))
	assert.NilError(t, c.exec(nil))
	assert.Equal(t, len(healthy.requests), 2)
	for _, want := range []string{"history has no command 7", "show\n", "was not confirmed", "  2  show budgets"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

func TestReadable(t *testing.T) {
	assert.Equal(t, groupDigits("-1234567"), "-1,234,567")
	assert.Equal(t, groupDigits("123"), "123")
	assert.Equal(t, formatBytes(1536), "1.5KiB")
}
