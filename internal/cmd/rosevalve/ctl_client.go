package rosevalve

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/workspace/operator"
)

const (
	ctlTimeout   = 12 * time.Second // longer than a router works on a command
	ctlRounds    = 3                // through all routers
	ctlRoundWait = time.Second
)

// errNoAnswer marks a try after which the command may be repeated.
var errNoAnswer = errors.New("no definite answer")

// ctlClient sends commands to the first router that answers.
type ctlClient struct {
	addrs     []string
	key       string
	commandID string
}

// send repeats the command with the same id until a router answers definitely.
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
	for round := range ctlRounds {
		if round > 0 {
			time.Sleep(ctlRoundWait)
		}
		for _, addr := range c.addrs {
			answer, err := c.post(addr, body)
			if err == nil || !errors.Is(err, errNoAnswer) {
				return answer, err
			}
			lastErr = err
		}
	}
	return nil, fmt.Errorf("command may have taken effect; repeat it with --command-id %s: %w", id, lastErr)
}

func (c *ctlClient) post(addr string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/v1/operator")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, ctlTimeout); err != nil {
		return nil, fmt.Errorf("%w: ask router %s: %w", errNoAnswer, addr, err)
	}
	answer := append([]byte(nil), resp.Body()...)
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusOK:
		return answer, nil
	case status >= fasthttp.StatusInternalServerError:
		return nil, fmt.Errorf("%w: router %s: %s", errNoAnswer, addr, refusalMessage(answer))
	default:
		return nil, fmt.Errorf("refused: %s", refusalMessage(answer))
	}
}

func refusalMessage(body []byte) string {
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
