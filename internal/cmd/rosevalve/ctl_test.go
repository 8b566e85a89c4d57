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

	"rosevalve/internal/workspace/operator"
)

// fakeRouter answers operators' commands with a status and a body.
type fakeRouter struct {
	status int
	body   string

	mu  sync.Mutex // guards got
	got []operator.Request
}

func (f *fakeRouter) handle(ctx *fasthttp.RequestCtx) {
	var req operator.Request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, req)
	ctx.SetStatusCode(f.status)
	ctx.SetBodyString(f.body)
}

// listen serves the fake on loopback and returns its address.
func (f *fakeRouter) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: f.handle}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

const oneRow = `{"columns":[{"name":"name","unit":"text"},{"name":"tokens","unit":"tokens"}],"rows":[["veneer",5000000]]}`

// runCtl runs ctl with the arguments and the standard input.
func runCtl(t *testing.T, stdin string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	sub := ctlCommand(strings.NewReader(stdin), &out)
	assert.NilError(t, sub.command.Parse(args, sub.options...))
	err := sub.command.Run(t.Context())
	return out.String(), err
}

func TestCtlFollowsAnotherRouter(t *testing.T) {
	busy := &fakeRouter{status: fasthttp.StatusGatewayTimeout, body: `{"error":{"message":"unknown"}}`}
	well := &fakeRouter{status: fasthttp.StatusOK, body: oneRow}
	dead := "127.0.0.1:1"
	out, err := runCtl(t, "", "--router", dead+","+busy.listen(t)+","+well.listen(t), "show budgets")
	assert.NilError(t, err)
	assert.Equal(t, out, "name    tokens\nveneer  5,000,000\n")
	assert.Equal(t, busy.got[0].CommandID, well.got[0].CommandID)
}

func TestCtlOutput(t *testing.T) {
	well := &fakeRouter{status: fasthttp.StatusOK, body: oneRow}
	addr := well.listen(t)
	assertOutput(t, "name    tokens\nveneer  5000000\n", "--router", addr, "--output", "plain", "show budgets")
	assertOutput(t, oneRow+"\n", "--router", addr, "--output", "json", "show budgets")
	_, err := runCtl(t, "", "--router", addr, "--output", "xml", "show budgets")
	assert.ErrorContains(t, err, `output "xml" does not exist`)
}

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
	assert.Equal(t, len(refusing.got), 1)
}

func TestCtlConfirmsWhatDestroys(t *testing.T) {
	well := &fakeRouter{status: fasthttp.StatusOK, body: `{"message":"done"}`}
	addr := well.listen(t)
	_, err := runCtl(t, "", "--router", addr, `delete workspace "veneer"`)
	assert.ErrorContains(t, err, "confirm it with --yes")
	assert.Equal(t, len(well.got), 0)
	_, err = runCtl(t, "", "--router", addr, "--yes", `delete workspace "veneer"`)
	assert.NilError(t, err)
}

func TestCtlPrompt(t *testing.T) {
	well := &fakeRouter{status: fasthttp.StatusOK, body: `{"message":"done"}`}
	var out bytes.Buffer
	c := &ctl{routers: well.listen(t), output: formatTable, stdout: &out, prompts: true}
	c.stdin = bufio.NewReader(strings.NewReader("show budgets\n!!\n!7\nsho?\ndelete workspace \"w\"\nno\nhistory\nexit\n"))
	assert.NilError(t, c.exec(nil))
	assert.Equal(t, len(well.got), 2)
	for _, want := range []string{"history has no command 7", "show\n", "was not confirmed", "  2  show budgets"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

func TestReadable(t *testing.T) {
	assert.Equal(t, groupDigits("-1234567"), "-1,234,567")
	assert.Equal(t, groupDigits("123"), "123")
	assert.Equal(t, readableBytes(1536), "1.5KiB")
}
