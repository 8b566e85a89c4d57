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
)

const (
	clientConns  = 65536
	dialTimeout  = time.Second
	requestLimit = 2 * time.Minute
	auditPause   = 500 * time.Millisecond
	defaultSeed  = 1
)

// Workspace is one group of callers.
type Workspace struct {
	Name   string
	Key    string
	Budget string
	// Share is its part of the arrivals relative to the other workspaces.
	Share float64
}

// Load generates requests for a while.
type Load struct {
	// Platform is the address of the platform, for the audit; empty skips it.
	Platform string
	// Routers are asked for the entries.
	Routers []string
	// Direct is the address of a target that is sent to without a router.
	Direct string
	// Engines are asked for their counts in the audit.
	Engines []string
	// Services are asked for their counts in the audit.
	Services []string
	// Workspaces are the groups of callers.
	Workspaces []Workspace
	// Model is the model that completions ask for.
	Model string
	// Service is the plain service that is called.
	Service string
	// Rate is the number of requests that arrive in a second.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// UrgentShare is the part of the completions that is urgent.
	UrgentShare float64
	// ServiceShare is the part of the requests that are non-idempotent service calls.
	ServiceShare float64
	// UrgentTokens and LongTokens are the completion tokens that are asked for.
	UrgentTokens int
	LongTokens   int
	// PromptBytes is the size of a prompt.
	PromptBytes int
	// Tries is how often a request is sent at most.
	Tries int
	// Callers is the number of callers that keep their own entries.
	Callers int
	// SettleLimit bounds the wait for bills to arrive in the table before the audit.
	SettleLimit time.Duration
	// Seed makes the arrivals repeatable.
	Seed uint64

	http     *fasthttp.Client
	callers  []*caller
	ledger   *ledgerView
	measures *measures
}

// Run generates the load and returns the report.
func (l *Load) Run(ctx context.Context) (Report, error) {
	l.prepare()
	if l.Platform != "" {
		if err := l.ledger.read(ctx); err != nil {
			return Report{}, fmt.Errorf("read budgets: %w", err)
		}
	}
	began := time.Now()
	l.arrive(ctx)
	l.measures.elapsed = time.Since(began)
	report := l.measures.report()
	if l.Platform == "" {
		return report, nil
	}
	if err := l.auditUntilClean(ctx, &report); err != nil {
		return report, fmt.Errorf("audit: %w", err)
	}
	return report, nil
}

// auditUntilClean repeats the audit while late bills may still arrive.
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
		time.Sleep(auditPause)
	}
}

func (l *Load) prepare() {
	l.http = &fasthttp.Client{
		StreamResponseBody:        true,
		MaxConnsPerHost:           clientConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if l.Seed == 0 {
		l.Seed = defaultSeed
	}
	l.ledger = newLedgerView(l.Platform, l.Workspaces)
	l.measures = newMeasures()
	l.callers = make([]*caller, max(l.Callers, 1))
	for i := range l.callers {
		l.callers[i] = &caller{load: l, seeds: l.Routers, name: strconv.Itoa(i)}
	}
}

// arrive starts requests at exponential distances, however long the answers take.
func (l *Load) arrive(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	end := time.Now().Add(l.Duration)
	next := time.Now()
	var wait sync.WaitGroup
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		c := l.callers[random.IntN(len(l.callers))]
		req := l.newRequest(random, n, next)
		wait.Go(func() { c.perform(ctx, req) })
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	wait.Wait()
}

// request is one request of a caller, with the key that it keeps on retries.
type request struct {
	workspace Workspace
	key       string
	arrived   time.Time
	call      bool // a non-idempotent call of the plain service
	urgent    bool
	tokens    int64
	content   string
}

func (l *Load) newRequest(random *rand.Rand, n int, arrived time.Time) request {
	r := request{
		workspace: l.pickWorkspace(random),
		key:       fmt.Sprintf("load-%x-%d", l.Seed, n),
		arrived:   arrived,
		urgent:    random.Float64() < l.UrgentShare,
		call:      random.Float64() < l.ServiceShare,
		tokens:    int64(l.LongTokens),
	}
	if r.urgent {
		r.tokens = int64(l.UrgentTokens)
	}
	r.content = prompt(random, n, l.PromptBytes)
	return r
}

func (l *Load) pickWorkspace(random *rand.Rand) Workspace {
	var sum float64
	for _, w := range l.Workspaces {
		sum += w.Share
	}
	at := random.Float64() * sum
	for _, w := range l.Workspaces {
		at -= w.Share
		if at < 0 {
			return w
		}
	}
	return l.Workspaces[len(l.Workspaces)-1]
}

func (r request) class() string {
	switch {
	case r.call:
		return "call"
	case r.urgent:
		return chat.PriorityUrgent
	default:
		return chat.PriorityLong
	}
}

// prompt returns a text of the size that differs for each request.
func prompt(random *rand.Rand, n, size int) string {
	b := fmt.Appendf(nil, "%d:", n)
	for len(b) < size {
		b = append(b, byte('a'+random.IntN(26)))
	}
	return string(b)
}
