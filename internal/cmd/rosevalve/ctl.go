package rosevalve

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/workspace/operator"
)

const (
	ctlTimeout = 15 * time.Second
	ctlTries   = 3
)

const ctlHelp = `Sends commands of the operators' language to a router. Without arguments the
commands are read from standard input, one a line.

EXAMPLES
  rosevalve ctl 'show budgets'
  rosevalve ctl 'top up budget "flitch-2026" workspace "gorenjska" by 200000'
  rosevalve ctl --output json 'show bills' < /dev/null`

// ctlClient sends commands to one router.
type ctlClient struct {
	addr   string
	key    string
	output string
	stdout io.Writer
}

// ctlCommand sends operators' commands.
func ctlCommand(stdin io.Reader, stdout io.Writer) subcommand {
	c := &ctlClient{stdout: stdout}
	set := ff.NewFlagSet("ctl")
	set.StringVar(&c.addr, 0, "router", "127.0.0.1:7001", "address of a router")
	set.StringVar(&c.key, 0, "key", "", "operator key")
	set.StringVar(&c.output, 0, "output", "table", "table or json")
	command := &ff.Command{
		Name:      "ctl",
		Usage:     "rosevalve ctl [FLAGS] [COMMAND]",
		ShortHelp: "send an operators' command",
		LongHelp:  ctlHelp,
		Flags:     set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return c.send(strings.Join(args, " "))
			}
			return c.sendAll(stdin)
		},
	}
	return subcommand{command: command, options: []ff.Option{ff.WithEnvVarPrefix("ROSEVALVE_CTL")}}
}

// sendAll sends each line that is not empty or a comment.
func (c *ctlClient) sendAll(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.send(line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read commands: %w", err)
	}
	return nil
}

// send repeats the command with the same id if its answer is lost.
func (c *ctlClient) send(command string) error {
	body, err := json.Marshal(operator.Request{Command: command, CommandID: rand.Text()})
	if err != nil {
		return fmt.Errorf("encode command: %w", err)
	}
	var lastErr error
	for range ctlTries {
		var answer []byte
		var status int
		status, answer, lastErr = c.post(body)
		if lastErr != nil {
			continue
		}
		if status != fasthttp.StatusOK {
			return fmt.Errorf("command %q refused: %s", command, refusalMessage(answer))
		}
		return c.print(answer)
	}
	return fmt.Errorf("send command: %w", lastErr)
}

func (c *ctlClient) post(body []byte) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.addr + "/v1/operator")
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, ctlTimeout); err != nil {
		return 0, nil, fmt.Errorf("ask router %s: %w", c.addr, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
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

func (c *ctlClient) print(body []byte) error {
	if c.output == "json" {
		fmt.Fprintln(c.stdout, string(body))
		return nil
	}
	if c.output != "table" {
		return fmt.Errorf("%w: output %q does not exist; allowed: table, json", errUsage, c.output)
	}
	var r operator.Result
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "decode result")
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	if len(r.Columns) > 0 {
		fmt.Fprintln(w, strings.Join(r.Columns, "\t"))
	}
	for _, row := range r.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if r.Message != "" {
		fmt.Fprintln(w, r.Message)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}
