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
	maxRetryBackoff      = 2 * time.Second
	minRetryBackoff      = 50 * time.Millisecond
	entriesRetryInterval = 100 * time.Millisecond // between fetches while no router answers
)

// errTruncated reports a stream that ended before its final event.
var errTruncated = errors.New("stream truncated")

// errWrongAnswer reports an answer whose tokens differ from those that the
// request determines.
var errWrongAnswer = errors.New("wrong answer")

// caller simulates one client, which sends requests to the routers of its cached
// entry list.
type caller struct {
	load    *Load
	routers []string // addresses to fetch the entry list from
	name    string   // sent to the routers, which order the entry list by it

	mu            sync.Mutex    // guards the fields below
	entries       []entry.Entry // in the order of preference
	entriesExpire time.Time     // when entries must be fetched again
}

// refusal is the error for an answer with a status other than 200.
type refusal struct {
	status     int
	code       string
	runState   string // whether the request ran: "not_run", "ran" or "unknown"
	retryAfter time.Duration
	requestID  string // assigned by the router
}

func (e *refusal) Error() string {
	return fmt.Sprintf("refused: %d %s (%s)", e.status, e.code, e.runState)
}

// answerStats holds the token timing and the reported usage of one answer.
type answerStats struct {
	firstToken time.Duration   // from the arrival of the request to its first token
	tokenGaps  []time.Duration // between consecutive tokens
	usage      chat.Usage
}

// sendWithRetries sends the request until it is answered, fails for good or has
// used up its attempts, and records the outcome.
func (c *caller) sendWithRetries(ctx context.Context, r request) {
	l := c.load
	reserved := worstCaseTokens(r)
	l.oracle.reserve(r.workspace.Budget, reserved)
	var stats answerStats
	var err error
	attempts := 0
	for attempts < max(l.Tries, 1) {
		attempts++
		stats, err = c.send(r, attempts)
		if err == nil || !c.backOff(ctx, err) {
			break
		}
	}
	available := l.oracle.available(r.workspace.Budget)
	l.oracle.settle(r.workspace.Budget, reserved, stats.usage.TotalTokens)
	l.recorder.add(r, stats, attempts, err, available >= 0)
}

// worstCaseTokens returns the number of tokens that the oracle reserves for the
// request: one for a service call, otherwise one per byte of the prompt, 8 for the
// message and the completion tokens asked for. The routers reserve more, because
// they count each byte of the request body.
func worstCaseTokens(r request) int64 {
	if r.serviceCall {
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

// backOff reports whether a request that failed with err should be retried, and
// waits before it returns true. It waits for the retry time that a refusal names,
// between minRetryBackoff and maxRetryBackoff, but only for minRetryBackoff if the
// router is draining, because the next attempt goes to the next entry.
func (c *caller) backOff(ctx context.Context, err error) bool {
	if errors.Is(err, errWrongAnswer) {
		return false
	}
	backoff := minRetryBackoff
	var refused *refusal
	if errors.As(err, &refused) {
		if refused.status < 500 || refused.runState == "ran" {
			return false
		}
		backoff = min(max(refused.retryAfter, minRetryBackoff), maxRetryBackoff)
		if refused.code == "draining" {
			backoff = minRetryBackoff
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(backoff):
		return true
	}
}

// send makes one attempt; attempts are numbered from 1 and go through the entries
// in turn.
func (c *caller) send(r request, attempt int) (answerStats, error) {
	base, err := c.baseURL(attempt)
	if err != nil {
		return answerStats{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, r, base)
	if err := c.load.client.DoTimeout(req, resp, attemptTimeout); err != nil {
		return answerStats{}, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return answerStats{}, readRefusal(resp)
	}
	if r.serviceCall {
		return answerStats{firstToken: time.Since(r.arrived), usage: chat.Usage{TotalTokens: 1}}, nil
	}
	return readStream(resp, r)
}

// baseURL returns the scheme and address that the given attempt is sent to.
func (c *caller) baseURL(attempt int) (string, error) {
	if c.load.Direct != "" {
		return "http://" + c.load.Direct, nil
	}
	entries, err := c.currentEntries()
	if err != nil {
		return "", err
	}
	return entries[(attempt-1)%len(entries)].URL, nil
}

// fillRequest sets the headers, URI and body of req for one attempt of r.
func (c *caller) fillRequest(req *fasthttp.Request, r request, base string) {
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
	if r.serviceCall {
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

// readStream reads a completion stream, records when each token arrives and
// checks the tokens against those that the request determines.
func readStream(resp *fasthttp.Response, r request) (answerStats, error) {
	var out answerStats
	var previous time.Time
	var n int64
	seed := engine.Seed(contentJSON(r.content))
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == chat.DoneEvent {
			if n != r.tokens {
				return out, fmt.Errorf("got %d of %d tokens: %w", n, r.tokens, errWrongAnswer)
			}
			return out, nil
		}
		var chunk chat.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return out, fmt.Errorf("decode event: %w", err)
		}
		if len(chunk.Choices) == 0 && chunk.Usage == nil {
			return out, fmt.Errorf("error event %q: %w", data, errTruncated)
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
			return out, fmt.Errorf("token %d is %q: %w", n, text, errWrongAnswer)
		}
		now := time.Now()
		if n == 0 {
			out.firstToken = now.Sub(r.arrived)
		} else {
			out.tokenGaps = append(out.tokenGaps, now.Sub(previous))
		}
		previous = now
		n++
	}
	return out, fmt.Errorf("after %d tokens: %w", n, errTruncated)
}

// readRefusal returns the error answer as a *refusal. A body that is not an error
// object of a router becomes the code, with run state "unknown".
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
		return &refusal{status: resp.StatusCode(), code: strings.TrimSpace(string(body)), runState: "unknown"}
	}
	return &refusal{
		status:     resp.StatusCode(),
		code:       in.Error.Code,
		runState:   in.Error.Run,
		retryAfter: time.Duration(in.Error.RetryAfterS) * time.Second,
		requestID:  in.Error.RequestID,
	}
}

// currentEntries returns the cached entries and first fetches them again, from a
// random router that answers, if they have expired. If no router answers, expired
// entries stay in use for another entriesRetryInterval.
func (c *caller) currentEntries() ([]entry.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.entriesExpire) {
		return c.entries, nil
	}
	for _, i := range rand.Perm(len(c.routers)) {
		answer, err := c.fetchEntries(c.routers[i])
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.entries = answer.Entries
		c.entriesExpire = time.Now().Add(time.Duration(answer.MaxAgeS) * time.Second)
		return c.entries, nil
	}
	if len(c.entries) > 0 {
		c.entriesExpire = time.Now().Add(entriesRetryInterval)
		return c.entries, nil
	}
	return nil, errors.New("no router returned an entry list")
}

// fetchEntries returns the caller's entry list from one router.
func (c *caller) fetchEntries(router string) (entry.Answer, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+router+"/v1/entries?caller="+c.name, queryTimeout)
	if err != nil {
		return entry.Answer{}, fmt.Errorf("fetch entries: %w", err)
	}
	var out entry.Answer
	if err := json.Unmarshal(body, &out); err != nil {
		return entry.Answer{}, fmt.Errorf("decode entries: %w", err)
	}
	return out, nil
}
