package rosevalve

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/head"
	"rosevalve/internal/workspace/operator"
)

const (
	// attemptTimeout exceeds the 10 s after which a router abandons a command.
	attemptTimeout = 12 * time.Second
	// maxRounds bounds the rounds of attempts; a round tries every router once.
	maxRounds = 3
	// roundDelay is the time between rounds.
	roundDelay = time.Second
)

// errRetryable marks a failed attempt after which the command may be sent again, with the
// same command id. Whether the command took effect may be unknown.
var errRetryable = errors.New("no definite answer")

// routerHTTP sends the commands.
var routerHTTP = &fasthttp.Client{DialTimeout: head.Dial}

// ctlClient sends commands to the routers, one after the other until one answers.
type ctlClient struct {
	addrs     []string // of routers, in the order of the attempts
	key       string   // of the operator
	commandID string   // of every command; empty for a new random id for each
}

// send returns the body of the response to a command. It retries with the same command id
// while attempts fail with errRetryable.
func (c *ctlClient) send(command string) ([]byte, error) {
	id := c.commandID
	if id == "" {
		id = rand.Text()
	}
	body, err := json.Marshal(operator.Request{Command: command, CommandID: id})
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	var lastErr error
	for round := range maxRounds {
		if round > 0 {
			time.Sleep(roundDelay)
		}
		for _, addr := range c.addrs {
			answer, err := c.post(addr, body)
			if err == nil || !errors.Is(err, errRetryable) {
				return answer, err
			}
			lastErr = err
		}
	}
	return nil, fmt.Errorf("command may have taken effect; repeat it with --command-id %s: %w", id, lastErr)
}

// post makes one attempt to run a command. The error wraps errRetryable if the router did
// not respond, or responded with a status of 500 or above or with a result that can't be read.
func (c *ctlClient) post(addr string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/v1/operator")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	req.SetBody(body)
	if err := routerHTTP.DoTimeout(req, resp, attemptTimeout); err != nil {
		return nil, fmt.Errorf("%w: ask router %s: %w", errRetryable, addr, err)
	}
	answer := append([]byte(nil), resp.Body()...)
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		if err := checkResult(answer); err != nil {
			return nil, fmt.Errorf("%w: router %s: %w", errRetryable, addr, err)
		}
		return answer, nil
	case status >= fasthttp.StatusInternalServerError:
		return nil, fmt.Errorf("%w: router %s: %s", errRetryable, addr, errorMessage(answer))
	default:
		return nil, fmt.Errorf("refused: %s", errorMessage(answer))
	}
}

// checkResult returns an error unless the body holds the result of a command.
func checkResult(body []byte) error {
	var r *operator.Result
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode result: %w", err)
	}
	if r == nil {
		return errors.New("decode result: it is null")
	}
	return nil
}

// errorMessage returns the message of an error response, or the whole body if it is not
// JSON.
func errorMessage(body []byte) string {
	var out struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return string(body)
	}
	return out.Error.Message
}
