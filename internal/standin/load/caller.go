package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/gateway"
	"rosevalve/internal/standin/engine"
)

const (
	maxRetryPause = 2 * time.Second
	retryPause    = 50 * time.Millisecond
	entriesPause  = 100 * time.Millisecond
)

// errCut reports a stream that ended before its last event.
var errCut = errors.New("stream cut")

// errWrong reports an answer that is not the request's own.
var errWrong = errors.New("wrong answer")

// caller keeps the entries that it was told and sends requests to them.
type caller struct {
	load  *Load
	seeds []string
	name  string // by which the entries are ordered

	mu      sync.Mutex // guards the fields below
	entries []entry.Entry
	expires time.Time
}

// refusal is an error answer of a router.
type refusal struct {
	status     int
	code       string
	run        string
	retryAfter time.Duration
	requestID  string
}

func (e *refusal) Error() string { return fmt.Sprintf("refused: %d %s (%s)", e.status, e.code, e.run) }

// answerTimes are the moments at which tokens arrived.
type answerTimes struct {
	first time.Duration
	gaps  []time.Duration
	usage chat.Usage
}

// perform sends the request until it is answered or its tries are used up.
func (c *caller) perform(ctx context.Context, r request) {
	l := c.load
	worst := worstCase(r)
	l.ledger.reserve(r.workspace.Budget, worst)
	var times answerTimes
	var err error
	tries := 0
	for tries < max(l.Tries, 1) {
		tries++
		times, err = c.send(r, tries)
		if err == nil || !c.pause(ctx, err) {
			break
		}
	}
	room := l.ledger.room(r.workspace.Budget)
	l.ledger.settle(r.workspace.Budget, worst, times.usage.TotalTokens)
	l.measures.add(r, times, tries, err, room >= 0)
}

// worstCase is what an all-knowing ledger would reserve for the request.
func worstCase(r request) int64 {
	if r.call {
		return 1
	}
	return int64(len(contentJSON(r.content))) + 8 + r.tokens
}

func contentJSON(text string) json.RawMessage {
	b, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return b
}

// pause waits before the next try and reports whether there shall be one.
func (c *caller) pause(ctx context.Context, err error) bool {
	if errors.Is(err, errWrong) {
		return false
	}
	wait := retryPause
	var refused *refusal
	if errors.As(err, &refused) {
		if refused.status < 500 || refused.run == "ran" {
			return false
		}
		wait = min(max(refused.retryAfter, retryPause), maxRetryPause)
		if refused.code == "draining" {
			wait = retryPause
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// send makes one try at the entry that the number of tries selects.
func (c *caller) send(r request, try int) (answerTimes, error) {
	base, err := c.base(try)
	if err != nil {
		return answerTimes{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, r, base)
	if err := c.load.http.DoTimeout(req, resp, requestLimit); err != nil {
		return answerTimes{}, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return answerTimes{}, readRefusal(resp)
	}
	if r.call {
		return answerTimes{first: time.Since(r.arrived), usage: chat.Usage{TotalTokens: 1}}, nil
	}
	return readStream(resp, r)
}

func (c *caller) base(try int) (string, error) {
	if c.load.Direct != "" {
		return "http://" + c.load.Direct, nil
	}
	entries, err := c.current()
	if err != nil {
		return "", err
	}
	return entries[(try-1)%len(entries)].URL, nil
}

func (c *caller) fill(req *fasthttp.Request, r request, base string) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+r.workspace.Key)
	req.Header.Set(gateway.HeaderKey, r.key)
	if r.workspace.Budget != "" {
		req.Header.Set(gateway.HeaderBudget, r.workspace.Budget)
	}
	if c.load.Direct != "" {
		req.Header.Set(chat.HeaderRun, r.key)
	}
	if r.call {
		req.SetRequestURI(base + "/v1/services/" + c.load.Service + "/reserve/" + r.key)
		return
	}
	req.SetRequestURI(base + chat.PathCompletions)
	body, err := json.Marshal(chat.Request{
		Model:         c.load.Model,
		Messages:      []chat.Message{{Role: "user", Content: contentJSON(r.content)}},
		MaxTokens:     &r.tokens,
		Stream:        true,
		StreamOptions: &chat.StreamOptions{IncludeUsage: true},
		Priority:      r.class(),
	})
	if err == nil {
		req.SetBody(body)
	}
}

// readStream reads the answer, notes when its tokens arrive and checks them.
func readStream(resp *fasthttp.Response, r request) (answerTimes, error) {
	var out answerTimes
	var last time.Time
	var n int64
	seed := engine.Seed(contentJSON(r.content))
	scanner := bufio.NewScanner(resp.BodyStream())
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == chat.DoneEvent {
			if n != r.tokens {
				return out, fmt.Errorf("%d of %d tokens: %w", n, r.tokens, errWrong)
			}
			return out, nil
		}
		var chunk chat.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return out, fmt.Errorf("decode event: %w", err)
		}
		if len(chunk.Choices) == 0 && chunk.Usage == nil {
			return out, fmt.Errorf("error event %q: %w", data, errCut)
		}
		if chunk.Usage != nil {
			out.usage = *chunk.Usage
			continue
		}
		text := chunk.Choices[0].Delta.Content
		if text == "" {
			continue
		}
		if text != engine.Token(seed, n) {
			return out, fmt.Errorf("token %d is %q: %w", n, text, errWrong)
		}
		now := time.Now()
		if n == 0 {
			out.first = now.Sub(r.arrived)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
		n++
	}
	return out, fmt.Errorf("after %d tokens: %w", n, errCut)
}

func readRefusal(resp *fasthttp.Response) error {
	body, err := resp.BodyUncompressed()
	if err != nil || len(body) == 0 {
		var buf bytes.Buffer
		if resp.BodyStream() != nil {
			_, _ = buf.ReadFrom(resp.BodyStream())
		}
		body = buf.Bytes()
	}
	var in struct {
		Error struct {
			Code        string `json:"code"`
			Run         string `json:"run"`
			RetryAfterS int64  `json:"retry_after_s"`
			RequestID   string `json:"request_id"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return &refusal{status: resp.StatusCode(), code: strings.TrimSpace(string(body)), run: "unknown"}
	}
	return &refusal{
		status:     resp.StatusCode(),
		code:       in.Error.Code,
		run:        in.Error.Run,
		retryAfter: time.Duration(in.Error.RetryAfterS) * time.Second,
		requestID:  in.Error.RequestID,
	}
}

// current returns the caller's entries, asking again when they are too old.
func (c *caller) current() ([]entry.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.entries, nil
	}
	for _, i := range rand.Perm(len(c.seeds)) {
		answer, err := c.ask(c.seeds[i])
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.entries = answer.Entries
		c.expires = time.Now().Add(time.Duration(answer.MaxAgeS) * time.Second)
		return c.entries, nil
	}
	if len(c.entries) > 0 {
		c.expires = time.Now().Add(entriesPause)
		return c.entries, nil
	}
	return nil, errors.New("no router answers")
}

func (c *caller) ask(seed string) (entry.Answer, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+seed+"/v1/entries?caller="+c.name, dialTimeout)
	if err != nil {
		return entry.Answer{}, fmt.Errorf("ask for entries: %w", err)
	}
	var out entry.Answer
	if err := json.Unmarshal(body, &out); err != nil {
		return entry.Answer{}, fmt.Errorf("decode entries: %w", err)
	}
	return out, nil
}
