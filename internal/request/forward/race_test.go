package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/target/upstream"
	"rosevalve/internal/workspace/plan"
)

const (
	// eventCount is the number of events in a whole stream.
	eventCount = 5
	// wholeBody is a whole answer that is not a stream.
	wholeBody = "done"
	// commentText is a comment in a stream.
	commentText = ": wait\n\n"
	// sharedPart is the ID of the first part of a prompt.
	sharedPart = 1
	// dialForever is a dial that does not end by itself.
	dialForever = time.Hour
)

// conduct is how a target of the test behaves.
type conduct struct {
	Dial         time.Duration                 // until a connection is open
	Silences     [eventCount + 2]time.Duration // before the header, each event and the end
	Comment      bool                          // a comment comes before the first event
	SplitsChunks bool                          // is silent after an event, before the end of its chunk, rather than before the event
	Refuses      bool                          // says that it does not run the request
	Fails        bool                          // answers with a failure
	BreaksAt     int                           // closes the connection before the header (1), an event (2 and more) or the end; 0 does not
}

// isSound reports whether the target gives a whole answer.
func (c conduct) isSound() bool {
	return !c.Refuses && !c.Fails && c.BreaksAt == 0
}

// answersPart reports whether the target breaks off after an event.
func (c conduct) answersPart() bool { return !c.Refuses && !c.Fails && c.BreaksAt > 2 }

// scenario is one request and the targets that it can be sent to.
type scenario struct {
	Route    plan.Route
	Conducts []conduct     // of the k-th instance that is dialled
	Leaves   time.Duration // until the caller disconnects; 0 if it does not
	NoBudget bool          // the retry budget allows no attempt but the first
	Blocked  time.Duration // until the prompt is blocked; 0 if it never is
}

// result is what came of a scenario.
type result struct {
	status     int
	text       string
	err        error
	runState   answer.RunState // of a request that is refused
	received   []int           // targets that have read the request, by index in Conducts
	dialled    int             // targets that a connection was opened to
	sent       int             // attempts that have begun
	ended      int             // attempts that have ended without the answer
	retried    int             // further attempts that the retry budget was asked for
	memory     int64           // reserved for bodies at the end
	duplicates int             // requests that a target has read again
}

// stage runs a scenario in virtual time.
type stage struct {
	scenario scenario

	mu     sync.Mutex     // guards the fields below
	order  map[string]int // by address; the index in Conducts
	result result
}

// conductOf returns the index of the conduct of the instance at addr.
func (s *stage) conductOf(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.order[addr]
	if !ok {
		n = len(s.order)
		s.order[addr] = n
	}
	return n
}

// dial opens a connection to a target.
func (s *stage) dial(ctx context.Context, addr string) (net.Conn, error) {
	n := s.conductOf(addr)
	select {
	case <-time.After(s.scenario.Conducts[n].Dial):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go s.serve(far, n)
	return pipeConn{near}, nil
}

// pipeConn is an end of a pipe on which an empty write does not wait for a reader.
type pipeConn struct{ net.Conn }

func (c pipeConn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	return c.Conn.Write(b)
}

// serve answers the requests on a connection to the n-th target.
func (s *stage) serve(conn net.Conn, n int) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(br); err != nil {
			return
		}
		s.countReceived(n)
		if !s.answer(conn, s.scenario.Conducts[n], string(req.Header.Peek("Last"))) {
			return
		}
	}
}

func (s *stage) countReceived(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.result.received, n) {
		s.result.duplicates++
	}
	s.result.received = append(s.result.received, n)
}

// answer writes an answer and reports whether the connection stays open.
func (s *stage) answer(conn net.Conn, c conduct, last string) bool {
	write := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(conn, format, args...)
		return err == nil
	}
	time.Sleep(c.Silences[0])
	switch {
	case c.Refuses:
		return write("HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case c.Fails:
		return write("HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 6\r\n\r\nbroken")
	case c.BreaksAt == 1:
		return false
	case s.scenario.Route.Kind != plan.Streaming:
		ok := write("HTTP/1.1 200 X\r\nId: a\r\nContent-Length: %d\r\n\r\n", len(wholeBody))
		time.Sleep(c.Silences[1])
		return ok && c.BreaksAt == 0 && write("%s", wholeBody)
	}
	var after int
	_, _ = fmt.Sscan(last, &after)
	ok := write("HTTP/1.1 200 X\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if c.Comment {
		ok = ok && write("%x\r\n%s\r\n", len(commentText), commentText)
	}
	for n := after + 1; ok && n <= eventCount; n++ {
		if c.BreaksAt == n-after+1 {
			return false
		}
		event := eventText(n)
		if c.SplitsChunks {
			ok = write("%x\r\n%s", len(event), event)
			time.Sleep(c.Silences[n])
			ok = ok && write("\r\n")
			continue
		}
		time.Sleep(c.Silences[n])
		ok = write("%x\r\n%s\r\n", len(event), event)
	}
	time.Sleep(c.Silences[eventCount+1])
	return ok && c.BreaksAt == 0 && write("0\r\n\r\n")
}

// eventText returns the event with the number.
func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// events returns the text of the first n events.
func events(n int) string {
	var b strings.Builder
	for k := 1; k <= n; k++ {
		b.WriteString(eventText(k))
	}
	return b.String()
}

// forwarder returns a Forwarder of the scenario.
func (s *stage) forwarder() *Forwarder {
	p := plan.New(plan.Config{Routes: []plan.Route{s.scenario.Route}, Services: []plan.Service{{
		Name: "s", MaxConnections: 100, Engine: &plan.Engine{MaxConcurrent: 8, CacheTokens: 90_000, TokensPerEvent: 1},
	}}})
	f := &Forwarder{
		Plan:         func() *plan.Plan { return p },
		PlanOutdated: func() bool { return false },
		Overloaded:   func() bool { return false },
		Placement:    &placement.Placement{Dial: s.dial, ParseHeader: parseTestHeader},
		Quarantine:   &quarantine.Quarantine{},
		Crashes:      &crash.Detector{Refuses: func(context.Context, string) bool { return false }},
		RetryBudget:  &RetryBudget{Limits: s.scenario.retryLimits, Window: 10 * time.Second},
		Encode:       encodeTestRequest,
		HasSignature: func(*fasthttp.ResponseHeader) bool { return true },
		OnDecision:   s.observe,
	}
	f.RetryBudget.SetRouterCount(1)
	// The retry budget is small at the start.
	time.Sleep(startupPeriod)
	var instances []roster.Instance
	for n := range s.scenario.Conducts {
		instances = append(instances, roster.Instance{ID: fmt.Sprint("i", n), Service: "s", Addr: fmt.Sprint("addr", n), Capacity: 8, StartedAt: time.Now()})
	}
	f.Placement.Update(roster.New(instances))
	return f
}

// retryLimits returns the limits of the retry budget.
func (sc scenario) retryLimits() (ratio, slack float64) {
	if sc.NoBudget {
		return 0, 0
	}
	return 0, 1e6
}

func parseTestHeader(h *fasthttp.ResponseHeader) upstream.ResponseInfo {
	return upstream.ResponseInfo{AttemptID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0}
}

func encodeTestRequest(out *fasthttp.Request, r *Request, a Attempt) {
	out.SetRequestURI(r.URI)
	out.Header.SetHost(r.Host)
	out.Header.Set("Last", fmt.Sprint(a.ResumeAfter))
}

func (s *stage) observe(d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch d.Kind {
	case AttemptSent:
		s.result.sent++
	case Retried:
		s.result.retried++
	case AttemptFailed:
		s.result.ended++
	}
}

// play runs the scenario to its end. The bubble of the test reports goroutines that are left.
func play(t *testing.T, sc scenario) result {
	t.Helper()
	s := &stage{scenario: sc, order: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		f := s.forwarder()
		ctx, cancel := context.WithCancel(t.Context())
		if sc.Leaves > 0 {
			defer time.AfterFunc(sc.Leaves, cancel).Stop()
		}
		if sc.Blocked > 0 {
			news := inner.QuarantineNews{Blocks: []inner.BlockRecord{{Parts: []uint64{sharedPart}, Since: time.Now()}}}
			defer time.AfterFunc(sc.Blocked, func() { f.Quarantine.HandleNews(news) }).Stop()
		}
		s.send(ctx, f)
		cancel()
		s.result.memory = f.BodyMemory.Reserved()
		synctest.Wait()
		f.Placement.Prune(time.Now().Add(time.Hour))
		time.Sleep(2 * dialForever)
	})
	s.result.dialled = len(s.order)
	return s.result
}

// send sends the request and reads the whole answer.
func (s *stage) send(ctx context.Context, f *Forwarder) {
	r := &Request{ID: "a", Method: "GET", URI: "/x", Host: "h", Arrived: time.Now()}
	if s.scenario.Blocked > 0 {
		r.Prompt = &Prompt{Parts: []Part{{ID: sharedPart, Tokens: 1}, {ID: sharedPart + 1, Tokens: 1}}}
	}
	a, err := f.Serve(ctx, r)
	if err != nil {
		s.result.err = err
		var refusal *answer.Error
		if errors.As(err, &refusal) {
			s.result.runState = refusal.Run
		}
		return
	}
	s.result.status = a.Status
	var text strings.Builder
	text.Write(a.Body)
	if a.Stream != nil {
		_, s.result.err = a.Stream.WriteTo(&text)
	}
	a.Close()
	s.result.text = strings.ReplaceAll(text.String(), commentText, "")
}

func drawConduct(rt *rapid.T) conduct {
	silence := rapid.SampledFrom([]time.Duration{0, 0, 0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 1600 * time.Millisecond, 4 * time.Second})
	c := conduct{
		Dial:         rapid.SampledFrom([]time.Duration{0, 0, 100 * time.Millisecond, dialForever}).Draw(rt, "dial"),
		Comment:      rapid.Bool().Draw(rt, "comment"),
		SplitsChunks: rapid.IntRange(0, 3).Draw(rt, "splits chunks") == 0,
	}
	for n := range c.Silences {
		c.Silences[n] = silence.Draw(rt, "silence")
	}
	switch rapid.SampledFrom([]string{"sound", "sound", "refuses", "fails", "breaks"}).Draw(rt, "kind") {
	case "refuses":
		c.Refuses = true
	case "fails":
		c.Fails = true
	case "breaks":
		c.BreaksAt = rapid.IntRange(1, eventCount+2).Draw(rt, "breaks at")
	}
	return c
}

func drawScenario(rt *rapid.T) scenario {
	route := resumableRoute(rapid.IntRange(1, 4).Draw(rt, "max targets"))
	switch rapid.SampledFrom([]string{"resumable", "resumable", "stream", "idempotent", "once"}).Draw(rt, "route") {
	case "stream":
		route.Resumable = false
	case "idempotent":
		route.Kind, route.Resumable = plan.Idempotent, false
	case "once":
		route.Kind, route.Resumable = plan.NonIdempotent, false
	}
	if rapid.IntRange(0, 4).Draw(rt, "short timeout") == 0 {
		route.Timeout = time.Duration(rapid.IntRange(1, 4000).Draw(rt, "timeout")) * time.Millisecond
	}
	sc := scenario{Route: route, NoBudget: rapid.IntRange(0, 4).Draw(rt, "no retry budget") == 0}
	for range rapid.IntRange(1, 4).Draw(rt, "targets") {
		sc.Conducts = append(sc.Conducts, drawConduct(rt))
	}
	if rapid.IntRange(0, 4).Draw(rt, "leaves") == 0 {
		sc.Leaves = time.Duration(rapid.IntRange(1, 3000).Draw(rt, "leaves after")) * time.Millisecond
	}
	return sc
}

// TestRaceOfAttempts checks the attempts of one request at targets that are silent, refuse, fail and break off
// against an oracle.
func TestRaceOfAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		got := play(t, sc)
		if wrong := sc.wrong(got); wrong != "" {
			rt.Fatalf("%s: %+v\n%+v", wrong, got, sc)
		}
	})
}

// wrong returns what is wrong with the result, or "".
func (sc scenario) wrong(got result) string {
	whole, part, failed, ran := 0, 0, 0, 0
	for _, n := range got.received {
		c := sc.Conducts[n]
		switch {
		case c.isSound():
			whole++
		case c.answersPart() && sc.Route.Kind == plan.Streaming:
			part++
		case c.Fails:
			failed++
		}
		if !c.Refuses {
			ran++
		}
	}
	complete := got.err == nil && got.status == fasthttp.StatusOK
	answered := got.sent - got.ended
	switch {
	case got.duplicates > 0:
		return "a target was asked twice"
	case len(got.received) > sc.Route.MaxTargets:
		return "more targets were asked than the route allows"
	case !sc.Route.Retryable() && ran > 1:
		return "a request that may run once ran more often"
	case got.memory != 0:
		return "memory of bodies is left"
	case complete && got.text != sc.wholeAnswer(), got.status == fasthttp.StatusOK && !strings.HasPrefix(sc.wholeAnswer(), got.text):
		return "the answer is not in order"
	case got.runState == answer.NotRun && got.status == 0 && ran > 0:
		return "a target has run the request that has not run"
	case complete && answered != 1, got.status == 0 && answered != 0:
		return "attempts have not ended"
	case sc.Leaves > 0 || sc.Route.Timeout < time.Minute || complete:
		return ""
	case whole > 0 && part == 0:
		return "a target with a whole answer was let go"
	case failed > 0 && got.status == 0:
		return "the failure of a target was not relayed"
	case sc.Route.Retryable() && !sc.NoBudget && len(got.received) < min(sc.Route.MaxTargets, sc.reachable()):
		return "a target that the route allows was not asked"
	default:
		return ""
	}
}

// reachable returns the number of targets that a connection can be opened to.
func (sc scenario) reachable() int {
	n := 0
	for _, c := range sc.Conducts {
		if c.Dial < dialForever {
			n++
		}
	}
	return n
}

// wholeAnswer returns the text of a whole answer.
func (sc scenario) wholeAnswer() string {
	if sc.Route.Kind == plan.Streaming {
		return events(eventCount)
	}
	return wholeBody
}

// resumableRoute returns a route with streams that may be resumed.
func resumableRoute(maxTargets int) plan.Route {
	return plan.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: plan.Streaming, Resumable: true, Timeout: 5 * time.Minute, LatencyGoal: time.Second,
		EventGapGoal: 200 * time.Millisecond, Splits: []plan.Split{{Service: "s", Weight: 1}}, MaxTargets: maxTargets,
	}
}

// TestTargetThatWasOnlyDialledIsLost guards against a stream being cut since a target counts as asked to which only a
// connection was being opened.
func TestTargetThatWasOnlyDialledIsLost(t *testing.T) {
	const silence, dial = 600 * time.Millisecond, 200 * time.Millisecond
	got := play(t, scenario{Route: resumableRoute(2), Conducts: []conduct{
		{Silences: [eventCount + 2]time.Duration{3: silence}, BreaksAt: 5},
		{Dial: dial},
	}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, events(eventCount))
	assert.DeepEqual(t, got.received, []int{0, 1})
}

// TestBlockedPromptSpendsRetries guards against attempts being taken from the retry budget that are not sent, since the prompt
// was blocked while its target is silent.
func TestBlockedPromptSpendsRetries(t *testing.T) {
	silent := conduct{Silences: [eventCount + 2]time.Duration{2: 4 * time.Second}}
	got := play(t, scenario{Route: resumableRoute(2), Conducts: []conduct{silent, {}}, Blocked: 100 * time.Millisecond})
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, events(eventCount))
	assert.Equal(t, got.sent, 1)
	assert.Equal(t, got.retried, 0)
}
