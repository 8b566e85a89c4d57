package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/dispatch"
	"rosevalve/internal/request/register"
	"rosevalve/internal/target/runner"
)

const (
	homeTimeout = 250 * time.Millisecond
	maxOwners   = 3
)

// relayRequest is a caller's request as it is sent to the router that has its run.
type relayRequest = runner.Forward

// newRelayRequest copies what identifies the run and the caller.
func newRelayRequest(ctx *fasthttp.RequestCtx) relayRequest {
	f := relayRequest{
		Method:  string(ctx.Method()),
		Path:    string(ctx.RequestURI()),
		Headers: [][2]string{{HeaderRelay, "1"}},
		Body:    append([]byte(nil), ctx.PostBody()...),
	}
	for _, name := range []string{"Authorization", "Content-Type", HeaderKey} {
		if value := string(ctx.Request.Header.Peek(name)); value != "" {
			f.Headers = append(f.Headers, [2]string{name, value})
		}
	}
	return f
}

// entry describes the run for the home of its key.
func (g *Gateway) entry(in *intake) inner.Run {
	return inner.Run{
		Workspace:  in.run.Key().Workspace,
		Key:        in.run.Key().Request,
		RunID:      in.run.ID(),
		BodyHash:   in.run.BodyHash(),
		CallerAddr: g.Homes.Self().CallerAddr,
	}
}

// lookUp asks the key's home whether another router has the run, while the
// caller goes on. A home that does not answer stands for no.
func (g *Gateway) lookUp(in *intake, replaces string) <-chan *inner.Run {
	found := make(chan *inner.Run, 1)
	if g.Homes == nil || !in.given {
		found <- nil
		return found
	}
	go func() {
		ctx, cancel := context.WithTimeout(in.run.Context(), homeTimeout)
		defer cancel()
		run, err := g.Homes.Begin(ctx, inner.RunBegin{Run: g.entry(in), Replaces: replaces})
		if err != nil || run.RunID == in.run.ID() || run.CallerAddr == g.Homes.Self().CallerAddr {
			found <- nil
			return
		}
		found <- &run
	}()
	return found
}

// follow reads the run from the router that has it, and from the one that has
// replaced that, and so on; a run of another request is refused. It reports false
// if the run is now this router's, with the lost run that it replaces.
func (g *Gateway) follow(in *intake, owner *inner.Run) (bool, *inner.Run) {
	var lost *inner.Run
	in.run.SetFollowing(true)
	defer in.run.SetFollowing(false)
	for n := 0; owner != nil && n < maxOwners; n++ {
		if in.run.Log().Len() > 0 {
			// Another run of the key need not begin with what this caller has.
			break
		}
		if owner.BodyHash != 0 && owner.BodyHash != in.run.BodyHash() {
			g.refuse(in, keyReused(register.ErrKeyReused))
			return true, nil
		}
		if g.attach(in, owner.CallerAddr) {
			return true, nil
		}
		lost = owner
		owner = <-g.lookUp(in, lost.RunID)
	}
	return false, lost
}

// attach reads the run's events from the router at addr. It reports false if
// that router does not have the run or was lost.
func (g *Gateway) attach(in *intake, addr string) bool {
	run := in.run
	var usage []byte
	err := g.Attach(run.Context(), addr, in.request, func(ev runner.Event) error {
		switch {
		case ev.Usage != nil:
			usage = ev.Data
		case !ev.Done:
			run.Log().Append(ev.Data)
		}
		return nil
	})
	var fail *answer.Error
	switch {
	case err == nil:
		attached.Add(1)
		count(outcomeWhole, answer.Ran)
		run.Log().Finish(usage, nil)
		g.Register.Retire(run)
		return true
	case errors.As(err, &fail):
		attached.Add(1)
		g.refuse(in, fail)
		return true
	case run.Context().Err() != nil:
		g.refuse(in, &answer.Error{Status: fasthttp.StatusGatewayTimeout, Code: "deadline_exceeded", Message: "the request was given up at its deadline", Run: answer.Unknown, RetryAfter: tableRetry})
		return true
	default:
		return false
	}
}

// announce tells the home where the run is, so that another router can take it over.
func (g *Gateway) announce(in *intake, at dispatch.Location) {
	if g.Homes == nil || !in.given {
		return
	}
	entry := g.entry(in)
	entry.Target, entry.Attempt = at.Target, at.RunID
	g.tell(g.Homes.Place, entry)
}

// forget ends the run here and at its home.
func (g *Gateway) forget(in *intake) {
	g.Register.Forget(in.run)
	if g.Homes != nil && in.given {
		g.tell(g.Homes.End, g.entry(in))
	}
}

// tell sends a hint to a home without waiting for it.
func (g *Gateway) tell(send func(context.Context, inner.Run) error, entry inner.Run) {
	g.init()
	g.hints.TrySubmit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
		defer cancel()
		if err := send(ctx, entry); err != nil {
			g.Log.Debug("hint lost", "request_id", entry.RunID, "err", err)
		}
	})
}
