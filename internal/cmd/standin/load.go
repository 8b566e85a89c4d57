package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"rosevalve/internal/standin/load"
)

const loadHelp = `Sends requests in an open loop and prints a report as JSON.

EXAMPLES
  rosevalve-standin load --routers 127.0.0.1:7001,127.0.0.1:7002 --platform 127.0.0.1:7900 \
    --workspaces gorenjska:demo-workspace-key:flitch-2026:1 --rate 100 --duration 10s
  rosevalve-standin load --direct 127.0.0.1:8001 --workspaces a:b:c:1 --rate 100 --duration 10s`

// errAudit reports a run whose audit found something that must not be.
var errAudit = errors.New("the audit found faults")

// loadCommand generates load.
func loadCommand(stdout io.Writer) *ff.Command {
	l := &load.Load{}
	var routers, engines, services, workspaces string
	var strict bool
	set := ff.NewFlagSet("load")
	set.StringVar(&routers, 0, "routers", "127.0.0.1:7001", "routers that are asked for the entries, separated by commas")
	set.StringVar(&l.Direct, 0, "direct", "", "address of a target that is sent to without a router")
	set.StringVar(&l.Platform, 0, "platform", "", "address of the platform, for the audit")
	set.StringVar(&engines, 0, "engines", "", "engines whose counts are audited, separated by commas")
	set.StringVar(&services, 0, "services", "", "services whose counts are audited, separated by commas")
	set.StringVar(&workspaces, 0, "workspaces", "", "workspaces as name:key:budget:share, separated by commas")
	set.StringVar(&l.Model, 0, "model", "demo", "model")
	set.StringVar(&l.Service, 0, "service", "stock", "plain service")
	set.Float64Var(&l.Rate, 0, "rate", 50, "requests in a second")
	set.DurationVar(&l.Duration, 0, "duration", 0, "how long requests arrive")
	set.Float64Var(&l.UrgentShare, 0, "urgent", 0.5, "part of the completions that is urgent")
	set.Float64Var(&l.ServiceShare, 0, "calls", 0, "part of the requests that are non-idempotent service calls")
	set.IntVar(&l.UrgentTokens, 0, "urgent-tokens", 16, "completion tokens of urgent requests")
	set.IntVar(&l.LongTokens, 0, "long-tokens", 128, "completion tokens of long requests")
	set.IntVar(&l.PromptBytes, 0, "prompt-bytes", 200, "size of a prompt")
	set.IntVar(&l.Tries, 0, "tries", 4, "how often a request is sent at most")
	set.IntVar(&l.Callers, 0, "callers", 32, "callers that keep their own entries")
	set.DurationVar(&l.SettleLimit, 0, "settle-limit", 5*time.Second, "longest wait for bills before the audit")
	set.Uint64Var(&l.Seed, 0, "seed", 1, "seed of the arrivals and prefix of the keys")
	set.BoolVar(&strict, 0, "strict", "fail if the audit finds faults or an answer is wrong or cut")
	return &ff.Command{
		Name:      "load",
		Usage:     "rosevalve-standin load [FLAGS]",
		ShortHelp: "load generator with an audit",
		LongHelp:  loadHelp,
		Flags:     set,
		Exec: func(ctx context.Context, _ []string) error {
			l.Routers = split(routers)
			l.Engines = split(engines)
			l.Services = split(services)
			var err error
			if l.Workspaces, err = parseWorkspaces(workspaces); err != nil {
				return err
			}
			return runLoad(ctx, l, strict, stdout)
		},
	}
}

func runLoad(ctx context.Context, l *load.Load, strict bool, stdout io.Writer) error {
	report, err := l.Run(ctx)
	if err != nil {
		return fmt.Errorf("run load: %w", err)
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	fmt.Fprintln(stdout, string(b))
	if strict && !report.Clean() {
		return errAudit
	}
	return nil
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func parseWorkspaces(text string) ([]load.Workspace, error) {
	var out []load.Workspace
	for _, part := range split(text) {
		fields := strings.Split(part, ":")
		if len(fields) != 4 {
			return nil, fmt.Errorf("workspace %q is not name:key:budget:share", part)
		}
		share, err := strconv.ParseFloat(fields[3], 64)
		if err != nil {
			return nil, fmt.Errorf("share %q of workspace %q is not a number", fields[3], fields[0])
		}
		out = append(out, load.Workspace{Name: fields[0], Key: fields[1], Budget: fields[2], Share: share})
	}
	if len(out) == 0 {
		return nil, errors.New("flag --workspaces is empty")
	}
	return out, nil
}
