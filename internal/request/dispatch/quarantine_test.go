package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/standin/engine"
	"rosevalve/internal/standin/fault"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/target/runner"
	"rosevalve/internal/workspace/catalogue"
)

const (
	testModel    = "m"
	crashingText = "crashing document"
	engineCount  = 6
	downtime     = 300 * time.Millisecond
)

// newDispatcher returns a dispatcher in front of engines that crash on crashingText.
func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	targets := &pool.Pool{}
	var list []catalogue.Target
	for range engineCount {
		l, err := fault.Listen("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		e := &engine.Server{Models: []string{testModel}, TokenInterval: time.Millisecond}
		e.SetFault(engine.Fault{CrashOn: crashingText, CrashMs: downtime.Milliseconds()})
		go func() { _ = e.Serve(l) }()
		list = append(list, catalogue.Target{Addr: l.Addr().String(), Models: []string{testModel}})
	}
	targets.SetTargets(list)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = targets.Run(ctx) }()
	client := &runner.Client{FirstByteTimeout: time.Second, ProgressTimeout: time.Second}
	q := &quarantine.Quarantine{
		Router: "r", RouterCount: func() int { return 1 }, Broadcast: func(inner.QuarantineNews, int) {},
		Locate: func(key string) table.Location { return table.Location{Key: key} },
		Commit: func(context.Context, table.Commit) (uint64, error) { return 1, nil },
	}
	return &Dispatcher{
		Acquire: func(_ context.Context, r queue.Request) (*pool.Slot, *answer.Error) {
			slot, err := targets.Reserve(r.Demand)
			if err != nil {
				return nil, noTargetError(answer.NotRun)
			}
			return slot, nil
		},
		Stream: client.Stream, Resume: client.Resume, Cancel: client.Cancel,
		Quarantine: q,
		Crashes:    &crash.Detector{OnCrash: q.ObserveCrash, Refuses: socket.Refuses},
	}
}

// ask sends a prompt of two messages, of which the first is shared.
func ask(t *testing.T, d *Dispatcher, id int, shared string) *answer.Error {
	t.Helper()
	messages := []chat.Message{
		{Role: "system", Content: json.RawMessage(fmt.Sprintf("%q", shared))},
		{Role: "user", Content: json.RawMessage(fmt.Sprintf("\"question %d\"", id))},
	}
	maxTokens := int64(3)
	body, err := json.Marshal(chat.Request{Model: testModel, Messages: messages, MaxTokens: &maxTokens, Stream: true, StreamOptions: &chat.StreamOptions{IncludeUsage: true}})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	out := d.Complete(ctx, Completion{
		Model: testModel, Ticket: queue.Request{Demand: pool.Requirements{Model: testModel, Urgent: true, Tokens: 10}}, RunID: fmt.Sprint("run-", id),
		Body: body, SharedParts: chat.SharedParts(messages), MaxPromptTokens: 100, MaxCompletionTokens: 10,
		Sink: func(runner.Event) error { return nil },
	})
	return out.Failure()
}

// TestMessageThatCrashesEngines guards against a shared message that crashes one engine after the
// other; each request with it used to crash up to three.
func TestMessageThatCrashesEngines(t *testing.T) {
	d := newDispatcher(t)
	var failure *answer.Error
	for n := range 200 {
		if n%4 > 0 {
			_ = ask(t, d, n, "sound document")
			continue
		}
		if failure = ask(t, d, n, crashingText); failure != nil && failure.Code == quarantine.RefusalCode {
			break
		}
		time.Sleep(downtime)
	}
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Code, quarantine.RefusalCode)
	assert.Equal(t, failure.Run, answer.NotRun)
	assert.Equal(t, failure.Status, fasthttp.StatusServiceUnavailable)
	assert.Assert(t, failure.RetryAfter > 0)
	time.Sleep(2 * downtime)
	for n := range 10 {
		assert.Assert(t, ask(t, d, 100+n, "sound document") == nil)
	}
}
