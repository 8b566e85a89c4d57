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
	// homeTimeout bounds each call to the home router of a key.
	homeTimeout = 250 * time.Millisecond
	// maxOwners is the largest number of routers that one request tries to read its
	// run from.
	maxOwners = 3
)

// forwardRequest is a caller's request in the form in which it is forwarded to the
// router that owns its run.
type forwardRequest = runner.ForwardedRequest

// newForwardRequest copies the parts of the request that identify the run and
// authenticate the caller.
func newForwardRequest(ctx *fasthttp.RequestCtx) forwardRequest {
	fwd := forwardRequest{
		Method:  string(ctx.Method()),
		Path:    string(ctx.RequestURI()),
		Headers: [][2]string{{HeaderRelay, "1"}},
		Body:    append([]byte(nil), ctx.PostBody()...),
	}
	for _, name := range []string{"Authorization", "Content-Type", HeaderKey} {
		if value := string(ctx.Request.Header.Peek(name)); value != "" {
			fwd.Headers = append(fwd.Headers, [2]string{name, value})
		}
	}
	return fwd
}

// homeRecord returns the description of the run for the home router of its key, which
// rendezvous hashing selects to record which router owns the run.
func (g *Gateway) homeRecord(in *inboundRequest) inner.Run {
	return inner.Run{
		Workspace:  in.run.Key().Workspace,
		Key:        in.run.Key().IdempotencyKey,
		RunID:      in.run.ID(),
		BodyHash:   in.run.BodyHash(),
		CallerAddr: g.Directory.Self().CallerAddr,
	}
}

// findOwner registers the run at the home router of its key without blocking. The returned
// channel receives the run of another router that already owns the key, or nil if there is
// none or the home router does not answer in time. If replaces is set, it is the id of a lost
// run, which the home router replaces by this one.
func (g *Gateway) findOwner(in *inboundRequest, replaces string) <-chan *inner.Run {
	ownerCh := make(chan *inner.Run, 1)
	if g.Directory == nil || !in.hasClientKey {
		ownerCh <- nil
		return ownerCh
	}
	go func() {
		ctx, cancel := context.WithTimeout(in.run.Context(), homeTimeout)
		defer cancel()
		run, err := g.Directory.Register(ctx, inner.RunRegistration{Run: g.homeRecord(in), Replaces: replaces})
		if err != nil || run.RunID == in.run.ID() || run.CallerAddr == g.Directory.Self().CallerAddr {
			ownerCh <- nil
			return
		}
		ownerCh <- &run
	}()
	return ownerCh
}

// readFromOwner reads the run from the router that owns it. If that router is unreachable,
// it queries the home router again and tries the next owner. A request with another body than
// the owner's run is refused.
//
// It reports whether the run has ended here. If not, this router must execute it, and
// the second result is the lost run that it replaces.
func (g *Gateway) readFromOwner(in *inboundRequest, owner *inner.Run) (bool, *inner.Run) {
	var lostRun *inner.Run
	in.run.SetReadFromPeer(true)
	defer in.run.SetReadFromPeer(false)
	for n := 0; owner != nil && n < maxOwners; n++ {
		if in.run.Log().Len() > 0 {
			// Another run of the key may generate other events than those that the
			// caller has already received.
			break
		}
		if owner.BodyHash != 0 && owner.BodyHash != in.run.BodyHash() {
			g.failRun(in, keyReusedError(register.ErrKeyReused))
			return true, nil
		}
		if g.attachTo(in, owner.CallerAddr) {
			return true, nil
		}
		lostRun = owner
		owner = <-g.findOwner(in, lostRun.RunID)
	}
	return false, lostRun
}

// attachTo reads the run's events from the router at addr and ends the run's log. It
// reports false if that router does not have the run or is unreachable.
func (g *Gateway) attachTo(in *inboundRequest, addr string) bool {
	run := in.run
	var usage []byte
	err := g.StreamFrom(run.Context(), addr, in.forward, func(ev runner.Event) error {
		switch {
		case ev.Usage != nil:
			usage = ev.Data
		case !ev.Done:
			run.Log().Append(ev.Data)
		}
		return nil
	})
	var apiErr *answer.Error
	switch {
	case err == nil:
		attachedRuns.Add(1)
		countOutcome(outcomeCompleted, answer.Ran)
		run.Log().Finish(usage, nil)
		g.Register.RemoveAfterRetention(run)
		return true
	case errors.As(err, &apiErr):
		attachedRuns.Add(1)
		g.failRun(in, apiErr)
		return true
	case run.Context().Err() != nil:
		g.failRun(in, givenUpError(run, "the request was given up at its deadline"))
		return true
	default:
		return false
	}
}

// publishLocation sends the home router the target and the attempt that execute the run, so
// that another router can take it over.
func (g *Gateway) publishLocation(in *inboundRequest, loc dispatch.RunLocation) {
	if g.Directory == nil || !in.hasClientKey {
		return
	}
	record := g.homeRecord(in)
	record.Target, record.Attempt = loc.Target, loc.RunID
	g.sendHint(g.Directory.UpdateLocation, record)
}

// removeRun removes the run from the registry and from its home router.
func (g *Gateway) removeRun(in *inboundRequest) {
	g.Register.Remove(in.run)
	if g.Directory != nil && in.hasClientKey {
		g.sendHint(g.Directory.Remove, g.homeRecord(in))
	}
}

// sendHint sends a message to a home router in the background. It is dropped if too many are
// queued. If a message is lost, two routers may execute the run; it is still billed once,
// and a call with a claim still runs at most once.
func (g *Gateway) sendHint(send func(context.Context, inner.Run) error, record inner.Run) {
	g.initPools()
	g.hintSenders.TrySubmit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
		defer cancel()
		if err := send(ctx, record); err != nil {
			g.Log.Debug("failed to send hint to home", "request_id", record.RunID, "err", err)
		}
	})
}
