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

// Fault is the set of faults that the engine injects until another set replaces it.
type Fault struct {
	// Silent makes streams stop sending while their connections stay open.
	Silent bool `json:"silent"`
	// SilenceOpen makes all connections that are open now silent permanently; see
	// fault.Listener.
	SilenceOpen bool `json:"silence_open"`
	// Decline refuses new runs.
	Decline bool `json:"decline"`
	// CutAfter, if positive, closes each stream after this number of tokens.
	CutAfter int64 `json:"cut_after"`
	// EndAfter, if positive, sends the final event of each stream after this number of
	// tokens, as if the answer were complete.
	EndAfter int64 `json:"end_after"`
	// Malformed replaces every third token event by one with invalid JSON.
	Malformed bool `json:"malformed"`
	// Crossed sets the run id of another run in the headers of answers.
	Crossed bool `json:"crossed"`
	// CrossedEvents replaces every third token event by one of another run.
	CrossedEvents bool `json:"crossed_events"`
	// WrongUsage reports an impossibly high number of completion tokens.
	WrongUsage bool `json:"wrong_usage"`
	// NoUsage omits the usage event.
	NoUsage bool `json:"no_usage"`
	// CrashOn, unless empty, makes the engine crash when it begins to answer a prompt of which a
	// message other than the last contains this text. It is away for CrashMs milliseconds.
	CrashOn string `json:"crash_on"`
	CrashMs int64  `json:"crash_ms"`
	// StallMs delays the header of each answer, in milliseconds.
	StallMs int64 `json:"stall_ms"`
}

const impossibleTokenCount = 1 << 40 // reported under Fault.WrongUsage

// stream answers with the run's tokens from the offset on, as server-sent events.
func (s *Server) stream(ctx *fasthttp.RequestCtx, r *run, offset int64) {
	f := s.currentFault()
	time.Sleep(time.Duration(f.StallMs) * time.Millisecond)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(chat.HeaderRun, r.id)
	if f.Crossed {
		ctx.Response.Header.Set(chat.HeaderRun, r.id+"-other")
	}
	r.addReaders(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.removeReader(r)
		_ = s.writeEvents(w, r, offset)
	})
}

// addReaders adds n, which may be negative, to the number of streams that read the
// run, and returns the new number.
func (r *run) addReaders(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
	return r.readers
}

// removeReader removes one reader. A run without readers is cancelled unless a
// reader resumes it within ResumeGrace.
func (s *Server) removeReader(r *run) {
	if r.addReaders(-1) > 0 {
		return
	}
	time.AfterFunc(s.ResumeGrace, func() {
		if r.addReaders(0) == 0 {
			s.cancelRun(r)
		}
	})
}

// progress returns the number of tokens generated and the state of the run.
func (r *run) progress() (generated int64, finished, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated, r.finished, r.cancelled
}

// writeEvents writes the events of all tokens from number sent on, as they are
// generated, and then the end of the stream.
func (s *Server) writeEvents(w *bufio.Writer, r *run, sent int64) error {
	// The early flush sends the header, by which the router knows that the run was
	// accepted.
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
				return fmt.Errorf("stream cut by fault after %d tokens", f.CutAfter)
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
			return fmt.Errorf("run %q was cancelled", r.id)
		}
		<-tick.C
	}
	return s.writeEnd(w, r)
}

// writeToken writes the event of token i as the faults f require.
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

// writeEnd writes the finish reason, the usage and the final event.
func (s *Server) writeEnd(w *bufio.Writer, r *run) error {
	f := s.currentFault()
	last := r.chunk("")
	reason := finishLength
	last.Choices[0].FinishReason = &reason
	writeChunk(w, last)
	usage := r.usage()
	if f.WrongUsage {
		usage.CompletionTokens = impossibleTokenCount
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

// chunk returns an event of the run with the given text.
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

// SetFault replaces the injected faults by f.
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

// CountsNow returns a copy of the counts, without those of the cache.
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
