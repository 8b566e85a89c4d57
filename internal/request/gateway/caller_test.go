package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/standin/engine"
)

// reply is what a caller has received.
type reply struct {
	status int
	id     string
	body   []byte
	header func(string) string
	err    error
}

// refusal is an error in an answer.
type refusal struct {
	Error struct {
		Code        string `json:"code"`
		Run         string `json:"run"`
		Param       string `json:"param"`
		RetryAfterS int64  `json:"retry_after_s"`
	} `json:"error"`
}

// send sends a request to the router as a caller would.
func (n *node) send(path, body string, headers ...string) reply {
	req := fasthttp.AcquireRequest()
	resp := &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + n.addr + path)
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetConnectionClose()
	req.SetBodyString(body)
	client := &fasthttp.HostClient{Addr: n.addr, Dial: n.world.dial, MaxIdemponentCallAttempts: 1}
	err := client.Do(req, resp)
	return reply{
		status: resp.StatusCode(),
		id:     string(resp.Header.Peek(HeaderRequestID)),
		body:   bytes.Clone(resp.Body()),
		header: func(name string) string { return string(resp.Header.Peek(name)) },
		err:    err,
	}
}

func (r reply) refusal() refusal {
	var out refusal
	_ = json.Unmarshal(r.body, &out)
	return out
}

// completionBody is a request whose prompt is its key.
func completionBody(key string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testTokens, key)
}

// wantText is the answer that the engines give to completionBody.
func wantText(key string) string {
	content, _ := json.Marshal(key)
	text := ""
	for i := range int64(testTokens) {
		text += engine.Token(engine.Seed(content), i)
	}
	return text
}

func (r reply) text() string {
	var c chat.Completion
	if json.Unmarshal(r.body, &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}

// engineRuns counts the runs that began at engines for the request id.
func (w *world) engineRuns(id string) int {
	sum := 0
	for _, e := range w.engines {
		for run, n := range e.CountsNow().Runs {
			if run == id || len(run) > len(id) && run[:len(id)+1] == id+"." {
				sum += n
			}
		}
	}
	return sum
}

// serviceRuns counts the runs at services by call id and by path.
func (w *world) serviceRuns() (calls, paths map[string]int) {
	calls, paths = make(map[string]int), make(map[string]int)
	for _, s := range w.services {
		c, p := s.Counts()
		for id, n := range c {
			calls[id] += n
		}
		for path, n := range p {
			paths[path] += n
		}
	}
	return calls, paths
}

// bills returns the settled bills by request key.
func (w *world) bills(t *testing.T) map[string]ledger.BillRow {
	t.Helper()
	out := make(map[string]ledger.BillRow)
	for _, row := range w.store.Scan("bill/", "", 1000) {
		var b ledger.BillRow
		if err := row.Decode(&b); err != nil {
			t.Fatal(err)
		}
		out[b.RequestKey] = b
	}
	return out
}
