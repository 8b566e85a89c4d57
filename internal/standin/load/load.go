package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/head"
)

const (
	maxConnsPerHost = 65536
	queryTimeout    = time.Second // for entry lists and run counts
	attemptTimeout  = 2 * time.Minute
	auditInterval   = 500 * time.Millisecond
	defaultSeed     = 1
)

// Workspace is a workspace under load.
type Workspace struct {
	// Name is the name of the workspace.
	Name string
	// Key is the API key that its requests are sent with.
	Key string
	// Budget is the budget that its requests name; empty names none.
	Budget string
	// Share is the workspace's weight among the arrivals, relative to the other workspaces.
	Share float64
}

// Load is the configuration and state of one load test: requests arrive for
// Duration and their outcomes are audited afterwards.
type Load struct {
	// Platform is the address of the platform that the audit reads; empty skips the audit.
	Platform string
	// Routers are the addresses that callers fetch their entry lists from.
	Routers []string
	// Direct is the address of a target; if set, requests go to it and bypass the routers.
	Direct string
	// Engines are the addresses of the engines whose run counts are audited.
	Engines []string
	// Services are the addresses of the service targets whose run counts are audited.
	Services []string
	// Workspaces are the workspaces that requests are spread over by share.
	Workspaces []Workspace
	// Model is the model that completion requests name.
	Model string
	// Service is the name of the service that service calls go to.
	Service string
	// Rate is the mean arrival rate in requests per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// UrgentShare is the fraction of completions that are urgent.
	UrgentShare float64
	// ServiceShare is the fraction of requests that are non-idempotent service calls.
	ServiceShare float64
	// UrgentTokens is the number of completion tokens of an urgent request.
	UrgentTokens int
	// LongTokens is the number of completion tokens of a long request.
	LongTokens int
	// PromptBytes is the size of a prompt in bytes.
	PromptBytes int
	// Tries is the maximum number of attempts per request.
	Tries int
	// Callers is the number of callers, each with its own entry list.
	Callers int
	// SettleLimit is the time for which a failing audit is repeated while bills may
	// still reach the table.
	SettleLimit time.Duration
	// Seed seeds the random arrivals and requests and is part of the idempotency
	// keys; zero stands for 1.
	Seed uint64

	client   *fasthttp.Client
	callers  []*caller
	oracle   *budgetOracle
	recorder *recorder
}

// Run generates the load, audits it unless Platform is empty, and returns the report.
func (l *Load) Run(ctx context.Context) (Report, error) {
	l.prepare()
	if l.Platform != "" {
		if err := l.oracle.readBalances(ctx); err != nil {
			return Report{}, fmt.Errorf("read budgets: %w", err)
		}
	}
	start := time.Now()
	l.generateArrivals(ctx)
	l.recorder.elapsed = time.Since(start)
	report := l.recorder.report()
	if l.Platform == "" {
		return report, nil
	}
	if err := l.auditUntilClean(ctx, &report); err != nil {
		return report, fmt.Errorf("audit: %w", err)
	}
	return report, nil
}

// auditUntilClean repeats the audit until the report is clean or SettleLimit has
// passed, because bills reach the table after their answers. The report keeps the
// most recent audit.
func (l *Load) auditUntilClean(ctx context.Context, report *Report) error {
	deadline := time.Now().Add(l.SettleLimit)
	for {
		audit, err := l.audit(ctx)
		if err == nil {
			report.Audit = &audit
		}
		if err == nil && report.Clean() {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(auditInterval)
	}
}

// prepare sets up the HTTP client, which never retries by itself, and the callers.
func (l *Load) prepare() {
	l.client = &fasthttp.Client{
		DialTimeout:               head.Dial,
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if l.Seed == 0 {
		l.Seed = defaultSeed
	}
	l.oracle = newBudgetOracle(l.Platform, l.Workspaces)
	l.recorder = newRecorder()
	l.callers = make([]*caller, max(l.Callers, 1))
	for i := range l.callers {
		l.callers[i] = &caller{load: l, routers: l.Routers, name: strconv.Itoa(i)}
	}
}

// generateArrivals starts requests with exponentially distributed inter-arrival
// times, independent of how long answers take, and waits for all of them to end.
func (l *Load) generateArrivals(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	end := time.Now().Add(l.Duration)
	next := time.Now()
	var requests sync.WaitGroup
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		c := l.callers[random.IntN(len(l.callers))]
		req := l.newRequest(random, n, next)
		requests.Go(func() { c.sendWithRetries(ctx, req) })
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	requests.Wait()
}

// request is one request of a caller.
type request struct {
	workspace   Workspace
	key         string    // idempotency key, the same on all attempts
	arrived     time.Time // scheduled arrival, from which latencies are measured
	serviceCall bool      // a non-idempotent service call instead of a completion
	urgent      bool
	tokens      int64  // completion tokens asked for
	content     string // text of the prompt
}

// newRequest returns the request with number n, whose random properties come from random.
func (l *Load) newRequest(random *rand.Rand, n int, arrived time.Time) request {
	r := request{
		workspace:   l.pickWorkspace(random),
		key:         fmt.Sprintf("load-%x-%d", l.Seed, n),
		arrived:     arrived,
		urgent:      random.Float64() < l.UrgentShare,
		serviceCall: random.Float64() < l.ServiceShare,
		tokens:      int64(l.LongTokens),
	}
	if r.urgent {
		r.tokens = int64(l.UrgentTokens)
	}
	r.content = prompt(random, n, l.PromptBytes)
	return r
}

// pickWorkspace returns a random workspace, weighted by share.
func (l *Load) pickWorkspace(random *rand.Rand) Workspace {
	var sum float64
	for _, w := range l.Workspaces {
		sum += w.Share
	}
	point := random.Float64() * sum
	for _, w := range l.Workspaces {
		point -= w.Share
		if point < 0 {
			return w
		}
	}
	return l.Workspaces[len(l.Workspaces)-1]
}

// class returns the request's class in the report: its priority, or "call".
func (r request) class() string {
	switch {
	case r.serviceCall:
		return "call"
	case r.urgent:
		return chat.PriorityUrgent
	default:
		return chat.PriorityLong
	}
}

// prompt returns a text of size bytes that is unique to request n.
func prompt(random *rand.Rand, n, size int) string {
	b := fmt.Appendf(nil, "%d:", n)
	for len(b) < size {
		b = append(b, byte('a'+random.IntN(26)))
	}
	return string(b)
}
