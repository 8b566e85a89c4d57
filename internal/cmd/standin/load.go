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

// errLoadFailed is the error of --strict for a report that is not clean.
var errLoadFailed = errors.New("load test failed: an answer was wrong or truncated, or the audit found violations")

// loadCommand returns the subcommand that generates load and audits the outcomes.
func loadCommand(stdout io.Writer) *ff.Command {
	l := &load.Load{}
	var routers, engines, services, workspaces string
	var strict bool
	flags := ff.NewFlagSet("load")
	flags.StringVar(&routers, 0, "routers", "127.0.0.1:7001", "routers that are asked for the entries, separated by commas")
	flags.StringVar(&l.Direct, 0, "direct", "", "address of a target that is sent to without a router")
	flags.StringVar(&l.Platform, 0, "platform", "", "address of the platform, for the audit")
	flags.StringVar(&engines, 0, "engines", "", "engines whose counts are audited, separated by commas")
	flags.StringVar(&services, 0, "services", "", "services whose counts are audited, separated by commas")
	flags.StringVar(&workspaces, 0, "workspaces", "", "workspaces as name:key:budget:share, separated by commas")
	flags.StringVar(&l.Model, 0, "model", "demo", "model")
	flags.StringVar(&l.Service, 0, "service", "stock", "plain service")
	flags.Float64Var(&l.Rate, 0, "rate", 50, "requests in a second")
	flags.DurationVar(&l.Duration, 0, "duration", 0, "how long requests arrive")
	flags.Float64Var(&l.UrgentShare, 0, "urgent", 0.5, "part of the completions that is urgent")
	flags.Float64Var(&l.ServiceShare, 0, "calls", 0, "part of the requests that are non-idempotent service calls")
	flags.IntVar(&l.UrgentTokens, 0, "urgent-tokens", 16, "completion tokens of urgent requests")
	flags.IntVar(&l.LongTokens, 0, "long-tokens", 128, "completion tokens of long requests")
	flags.IntVar(&l.PromptBytes, 0, "prompt-bytes", 200, "size of a prompt")
	flags.IntVar(&l.Tries, 0, "tries", 4, "how often a request is sent at most")
	flags.IntVar(&l.Callers, 0, "callers", 32, "callers that keep their own entries")
	flags.DurationVar(&l.SettleLimit, 0, "settle-limit", 5*time.Second, "longest wait for bills before the audit")
	flags.Uint64Var(&l.Seed, 0, "seed", 1, "seed of the arrivals and prefix of the keys")
	flags.BoolVar(&strict, 0, "strict", "fail if the audit finds faults or an answer is wrong or cut")
	return &ff.Command{
		Name:      "load",
		Usage:     "rosevalve-standin load [FLAGS]",
		ShortHelp: "load generator with an audit",
		LongHelp:  loadHelp,
		Flags:     flags,
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

// runLoad runs the load test and prints its report; with strict, a report that is
// not clean is an error.
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
		return errLoadFailed
	}
	return nil
}

// split returns the comma-separated items of a flag value; an empty value has none.
func split(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// parseWorkspaces parses the value of --workspaces, a comma-separated list of
// name:key:budget:share.
func parseWorkspaces(value string) ([]load.Workspace, error) {
	var out []load.Workspace
	for _, item := range split(value) {
		fields := strings.Split(item, ":")
		if len(fields) != 4 {
			return nil, fmt.Errorf("workspace %q is not name:key:budget:share", item)
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
