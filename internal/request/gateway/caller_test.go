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

// reply is the response that a caller has received, or the error of its request.
type reply struct {
	status    int
	requestID string
	body      []byte
	header    func(string) string
	err       error
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error struct {
		Code        string `json:"code"`
		Run         string `json:"run"`
		Param       string `json:"param"`
		RetryAfterS int64  `json:"retry_after_s"`
	} `json:"error"`
}

// send sends a POST request with the workspace's key to the router. headers are
// alternating names and values.
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
	client := &fasthttp.HostClient{Addr: n.addr, Dial: n.fleet.dial, MaxIdemponentCallAttempts: 1}
	err := client.Do(req, resp)
	return reply{
		status:    resp.StatusCode(),
		requestID: string(resp.Header.Peek(HeaderRequestID)),
		body:      bytes.Clone(resp.Body()),
		header:    func(name string) string { return string(resp.Header.Peek(name)) },
		err:       err,
	}
}

// errorBody decodes the body as an error; it is zero for another body.
func (r reply) errorBody() errorBody {
	var out errorBody
	_ = json.Unmarshal(r.body, &out)
	return out
}

// completionBody returns a completion request whose prompt is the key.
func completionBody(key string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testTokens, key)
}

// wantText returns the text that the engines generate for completionBody.
func wantText(key string) string {
	content, _ := json.Marshal(key)
	text := ""
	for i := range int64(testTokens) {
		text += engine.Token(engine.Seed(content), i)
	}
	return text
}

// text returns the text of a completion, or "" if the body is none.
func (r reply) text() string {
	var c chat.Completion
	if json.Unmarshal(r.body, &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Message.Content
}

// engineRuns returns the number of runs that all engines have started for the request
// id. Runs after the first carry the id with a suffix.
func (f *testFleet) engineRuns(id string) int {
	sum := 0
	for _, e := range f.engines {
		for run, n := range e.CountsNow().Runs {
			if run == id || len(run) > len(id) && run[:len(id)+1] == id+"." {
				sum += n
			}
		}
	}
	return sum
}

// serviceRuns returns the number of calls that all services have run, by call id and
// by path.
func (f *testFleet) serviceRuns() (calls, paths map[string]int) {
	calls, paths = make(map[string]int), make(map[string]int)
	for _, s := range f.services {
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

// bills returns the bills in the table by request key.
func (f *testFleet) bills(t *testing.T) map[string]ledger.BillRow {
	t.Helper()
	out := make(map[string]ledger.BillRow)
	for _, row := range f.store.Scan("bill/", "", 1000) {
		var b ledger.BillRow
		if err := row.Decode(&b); err != nil {
			t.Fatal(err)
		}
		out[b.RequestKey] = b
	}
	return out
}
