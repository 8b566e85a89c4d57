package router

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/register"
	"rosevalve/internal/workspace/operator"
)

// addRequestCommands adds the operator commands on requests and VMs to the executor, and
// the inner methods with which routers query and cancel each other's requests.
func (r *Router) addRequestCommands() {
	r.peers.Handlers[inner.MethodRequests] = r.handleRequests
	r.peers.Handlers[inner.MethodCancelRequest] = r.handleCancelRequest
	r.executor.Requests = r.requestTable
	r.executor.Blocks = r.blockTable
	r.executor.CancelRequest = r.cancelRequest
	r.executor.ExplainRequest = r.explainRequest
	vms := &vmlist.Client{Addr: r.Settings.Platform.Addr, HTTP: r.platformHTTP}
	r.executor.VMs = func(ctx context.Context) (operator.Table, error) { return vmTable(ctx, vms) }
}

// localRequests returns the requests that are running on this router if id is empty, and
// otherwise those with the request id or idempotency key id, running or done.
func (r *Router) localRequests(id string) []inner.RequestState {
	var out []inner.RequestState
	for _, run := range r.registry.Runs() {
		s := requestState(run, r.id)
		if (id == "" && !s.Done) || (id != "" && (s.ID == id || s.Key == id)) {
			out = append(out, s)
		}
	}
	return out
}

// requestState describes a run of this router, whose id is router.
func requestState(run *register.Run, router string) inner.RequestState {
	_, done, failure, _ := run.Log().Poll(run.Log().Len())
	s := inner.RequestState{
		ID:        run.ID(),
		Workspace: run.Key().Workspace,
		Key:       run.Key().IdempotencyKey,
		Router:    router,
		Began:     run.Began(),
		Events:    run.Log().Len(),
		Done:      done,
		Following: run.ReadFromPeer(),
	}
	if failure != nil {
		s.Failure = failure.Error()
	}
	return s
}

func (r *Router) handleRequests(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.RequestsRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode question for requests: %w", err)
	}
	return inner.RequestsResponse{Requests: r.localRequests(in.ID)}, nil
}

func (r *Router) handleCancelRequest(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.CancelRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode cancellation: %w", err)
	}
	return inner.CancelResponse{Found: r.cancelLocal(in.ID)}, nil
}

// cancelLocal cancels the request with the id if it is running on this router, and
// reports whether it is.
func (r *Router) cancelLocal(id string) bool {
	for _, run := range r.registry.Runs() {
		if run.ID() == id && !requestState(run, r.id).Done {
			run.Cancel()
			return true
		}
	}
	return false
}

// callRouters runs call for the address of every other router, at most
// maxConcurrentCalls at a time, and returns the number of calls that failed.
func (r *Router) callRouters(call func(addr string) error) int {
	pool := pond.NewPool(maxConcurrentCalls)
	var mu sync.Mutex // guards unanswered
	unanswered := 0
	for _, addr := range r.peerAddrs() {
		pool.Submit(func() {
			if call(addr) == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
		})
	}
	pool.StopAndWait()
	return unanswered
}

// fleetRequests returns what localRequests returns on this router and on all others, and
// the number of routers that did not answer.
func (r *Router) fleetRequests(ctx context.Context, id string) ([]inner.RequestState, int) {
	var mu sync.Mutex // guards out
	out := r.localRequests(id)
	unanswered := r.callRouters(func(addr string) error {
		var answer inner.RequestsResponse
		if err := r.peers.Call(ctx, addr, inner.MethodRequests, inner.RequestsRequest{ID: id}, &answer); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, answer.Requests...)
		return nil
	})
	return out, unanswered
}

// requestTable returns a table of the requests that are running on any router. Routers
// that do not answer are left out.
func (r *Router) requestTable(ctx context.Context) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "id"}, {Name: "workspace"}, {Name: "key"}, {Name: "router"}, {Name: "began", Unit: operator.UnitTime},
		{Name: "age", Unit: operator.UnitDuration}, {Name: "events", Unit: operator.UnitNumber}, {Name: "following", Unit: operator.UnitBool},
	}}
	requests, _ := r.fleetRequests(ctx, "")
	for _, s := range requests {
		t.Rows = append(t.Rows, []operator.Cell{
			operator.TextCell(s.ID), operator.TextCell(s.Workspace), operator.TextCell(s.Key), operator.TextCell(s.Router), operator.TimeCell(s.Began),
			operator.DurationCell(time.Since(s.Began)), operator.NumberCell(int64(s.Events)), operator.BoolCell(s.Following),
		})
	}
	return t, nil
}

// cancelRequest cancels the request with the id on whichever router runs it.
func (r *Router) cancelRequest(ctx context.Context, id string) error {
	if r.cancelLocal(id) {
		return nil
	}
	var mu sync.Mutex // guards found
	found := false
	unanswered := r.callRouters(func(addr string) error {
		var answer inner.CancelResponse
		if err := r.peers.Call(ctx, addr, inner.MethodCancelRequest, inner.CancelRequest{ID: id}, &answer); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		found = found || answer.Found
		return nil
	})
	if !found {
		return fmt.Errorf("no router runs request %q; %d did not answer", id, unanswered)
	}
	return nil
}

// explainRequest returns a table of the progress of a request on each router that has
// it, and of its bill.
func (r *Router) explainRequest(ctx context.Context, id string) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{{Name: "at", Unit: operator.UnitTime}, {Name: "where"}, {Name: "what"}}}
	add := func(at time.Time, where, format string, args ...any) {
		t.Rows = append(t.Rows, []operator.Cell{operator.TimeCell(at), operator.TextCell(where), operator.TextCell(fmt.Sprintf(format, args...))})
	}
	requests, unanswered := r.fleetRequests(ctx, id)
	for _, s := range requests {
		add(s.Began, s.Router, "workspace %q, key %q: %s", s.Workspace, s.Key, requestProgress(s))
		bill, billed, err := r.ledger.Bill(ctx, s.Workspace, s.Key)
		switch {
		case err != nil:
			return t, fmt.Errorf("read bill: %w", err)
		case billed:
			add(bill.BilledAt, "bill", "budget %q, %d prompt and %d completion tokens, by %s", bill.Budget, bill.PromptTokens, bill.CompletionTokens, bill.Holder)
		default:
			add(time.Time{}, "bill", "none in the table yet")
		}
	}
	if unanswered > 0 {
		add(time.Time{}, "fleet", "%d routers did not answer", unanswered)
	}
	if len(requests) == 0 {
		return t, fmt.Errorf("no router that answers knows it; %d did not answer; its bill is among: show bills where request_key = %q", unanswered, id)
	}
	return t, nil
}

// requestProgress describes the progress of a request in the table of explainRequest.
func requestProgress(s inner.RequestState) string {
	switch {
	case s.Failure != "":
		return fmt.Sprintf("ended after %d events: %s", s.Events, s.Failure)
	case s.Done:
		return fmt.Sprintf("whole after %d events", s.Events)
	case s.Following:
		return fmt.Sprintf("reads it from another router, %d events so far", s.Events)
	default:
		return fmt.Sprintf("runs, %d events so far", s.Events)
	}
}

// vmTable returns a table of the VMs in the platform's list.
func vmTable(ctx context.Context, vms *vmlist.Client) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{{Name: "addr"}, {Name: "failure_domain"}, {Name: "leaving", Unit: operator.UnitBool}}}
	list, err := vms.List(ctx)
	if err != nil && !errors.Is(err, vmlist.ErrIncomplete) {
		return t, err
	}
	for _, v := range list {
		t.Rows = append(t.Rows, []operator.Cell{operator.TextCell(v.Addr), operator.TextCell(v.FailureDomain), operator.BoolCell(v.Leaving)})
	}
	return t, nil
}
