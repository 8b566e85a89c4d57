package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/httpjson"
)

// Fault describes how the engine misbehaves until it is set again.
type Fault struct {
	// Silent makes streams stop sending while their connections stay open.
	Silent bool `json:"silent"`
	// SilenceOpen makes the connections that are open now silent for good.
	SilenceOpen bool `json:"silence_open"`
	// Decline makes the engine refuse new runs.
	Decline bool `json:"decline"`
	// CutAfter closes each stream after that many tokens, if positive.
	CutAfter int64 `json:"cut_after"`
	// EndAfter ends each stream early after that many tokens, as if it were whole, if positive.
	EndAfter int64 `json:"end_after"`
	// Malformed sends an event that is no JSON in place of each third token.
	Malformed bool `json:"malformed"`
	// Crossed names another run in the answers' headers.
	Crossed bool `json:"crossed"`
	// CrossedEvents mixes an event of another run into each stream.
	CrossedEvents bool `json:"crossed_events"`
	// WrongUsage reports a usage that cannot be true.
	WrongUsage bool `json:"wrong_usage"`
	// NoUsage leaves the usage out.
	NoUsage bool `json:"no_usage"`
	// StallMs delays the header of each answer.
	StallMs int64 `json:"stall_ms"`
}

const impossibleTokens = 1 << 40

// stream sends the run's tokens from the offset on as events.
func (s *Server) stream(ctx *fasthttp.RequestCtx, r *run, offset int64) {
	f := s.currentFault()
	time.Sleep(time.Duration(f.StallMs) * time.Millisecond)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(chat.HeaderRun, r.id)
	if f.Crossed {
		ctx.Response.Header.Set(chat.HeaderRun, r.id+"-other")
	}
	r.join(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.leave(r)
		_ = s.writeEvents(w, r, offset)
	})
}

func (r *run) join(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
	return r.readers
}

// leave stops a run that nobody reads, unless a reader comes back in time.
func (s *Server) leave(r *run) {
	if r.join(-1) > 0 {
		return
	}
	time.AfterFunc(s.ResumeGrace, func() {
		if r.join(0) == 0 {
			s.stop(r)
		}
	})
}

func (r *run) progress() (generated int64, finished, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated, r.finished, r.cancelled
}

func (s *Server) writeEvents(w *bufio.Writer, r *run, sent int64) error {
	// An early flush lets the router see that the run is accepted.
	if err := w.Flush(); err != nil {
		return err
	}
	tick := time.NewTicker(s.TokenInterval)
	defer tick.Stop()
	start := sent
	for {
		generated, finished, cancelled := r.progress()
		f := s.currentFault()
		if f.Silent {
			<-tick.C
			continue
		}
		for ; sent < generated; sent++ {
			s.writeToken(w, r, sent, f)
			if f.CutAfter > 0 && sent-start+1 >= f.CutAfter {
				return fmt.Errorf("cut after %d tokens", f.CutAfter)
			}
			if f.EndAfter > 0 && sent-start+1 >= f.EndAfter {
				fmt.Fprintf(w, "data: %s\n\n", chat.DoneEvent)
				return w.Flush()
			}
		}
		if finished {
			break
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if cancelled {
			return fmt.Errorf("run %q is cancelled", r.id)
		}
		<-tick.C
	}
	return s.writeEnd(w, r)
}

func (s *Server) writeToken(w *bufio.Writer, r *run, i int64, f Fault) {
	if f.Malformed && i%3 == 2 {
		fmt.Fprintf(w, "data: {\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":\"%s\n\n", r.id, Token(r.seed, i))
		return
	}
	if f.CrossedEvents && i%3 == 2 {
		other := r.chunk(Token(r.seed+1, i))
		other.ID += "-other"
		writeChunk(w, other)
		return
	}
	writeChunk(w, r.chunk(Token(r.seed, i)))
}

// writeEnd sends the finish reason, the usage and the last event.
func (s *Server) writeEnd(w *bufio.Writer, r *run) error {
	f := s.currentFault()
	last := r.chunk("")
	reason := finishStop
	last.Choices[0].FinishReason = &reason
	writeChunk(w, last)
	usage := r.usage()
	if f.WrongUsage {
		usage.CompletionTokens = impossibleTokens
	}
	end := r.chunk("")
	end.Choices = []chat.ChunkChoice{}
	end.Usage = &usage
	if !f.NoUsage {
		writeChunk(w, end)
	}
	fmt.Fprintf(w, "data: %s\n\n", chat.DoneEvent)
	return w.Flush()
}

func (r *run) chunk(text string) chat.Chunk {
	return chat.Chunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   r.model,
		Choices: []chat.ChunkChoice{{Delta: chat.Delta{Content: text}}},
	}
}

func writeChunk(w *bufio.Writer, c chat.Chunk) {
	b, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", b)
}

func (s *Server) setFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if httpjson.Read(ctx, &f) {
		s.SetFault(f)
	}
}

// SetFault makes the engine misbehave as f tells.
func (s *Server) SetFault(f Fault) {
	if f.SilenceOpen {
		s.conns.Silence()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// CountsNow returns what the engine has done so far.
func (s *Server) CountsNow() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		Runs:      maps.Clone(s.counts.Runs),
		Generated: maps.Clone(s.counts.Generated),
		Prompt:    maps.Clone(s.counts.Prompt),
		Declined:  s.counts.Declined,
		Cancelled: s.counts.Cancelled,
	}
}
