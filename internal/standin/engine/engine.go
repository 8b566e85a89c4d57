package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
)

const (
	defaultTokenInterval = 5 * time.Millisecond
	defaultSlots         = 32
	defaultMaxTokens     = 64
	defaultMaxQueue      = 1024
	finishStop           = "length"
)

// Server answers chat completions on one address.
type Server struct {
	// Models are the model names that it serves.
	Models []string
	// TokenInterval is the time between two tokens of one run.
	TokenInterval time.Duration
	// Slots is the number of runs that generate at the same time.
	Slots int
	// MaxQueue is the number of runs that may wait for a slot.
	MaxQueue int

	mu      sync.Mutex // guards the fields below
	running int
	waiting []*run
	runs    map[string]*run
	counts  Counts
	fault   Fault
	arrived int64
}

// Counts are what the engine has done, as evidence for tests.
type Counts struct {
	// Runs is the number of runs that began to generate, by run id.
	Runs map[string]int `json:"runs"`
	// Generated is the number of completion tokens generated, by run id.
	Generated map[string]int64 `json:"generated"`
	// Prompt is the number of prompt tokens processed, by run id.
	Prompt map[string]int64 `json:"prompt"`
	// Declined is the number of requests refused before they ran.
	Declined int64 `json:"declined"`
	// Cancelled is the number of runs cancelled.
	Cancelled int64 `json:"cancelled"`
}

// Fault describes how the engine misbehaves until it is set again.
type Fault struct {
	// Silent makes streams stop sending while their connections stay open.
	Silent bool `json:"silent"`
	// Decline makes the engine refuse new runs.
	Decline bool `json:"decline"`
	// CutAfter closes each stream after that many tokens, if positive.
	CutAfter int64 `json:"cut_after"`
}

// run is one generation; its answer is a function of its request alone.
type run struct {
	id       string
	seed     uint64
	model    string
	prompt   int64
	max      int64
	urgent   bool
	sequence int64
	granted  chan struct{} // closed when the run gets a slot
	cancel   chan struct{} // closed when the run is cancelled

	mu        sync.Mutex // guards the fields below
	generated int64
	cancelled bool
	finished  bool
}

// Run serves on addr until the listener fails.
func (s *Server) Run(addr string) error {
	if s.TokenInterval == 0 {
		s.TokenInterval = defaultTokenInterval
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.MaxQueue == 0 {
		s.MaxQueue = defaultMaxQueue
	}
	s.runs = make(map[string]*run)
	s.counts = Counts{
		Runs:      make(map[string]int),
		Generated: make(map[string]int64),
		Prompt:    make(map[string]int64),
	}
	server := &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}
	if err := server.ListenAndServe(addr); err != nil {
		return fmt.Errorf("serve engine on %s: %w", addr, err)
	}
	return nil
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == chat.PathCompletions:
		s.complete(ctx)
	case path == chat.PathModels:
		s.listModels(ctx)
	case path == "/load":
		s.reportLoad(ctx)
	case path == "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(ctx, fasthttp.StatusOK, s.counts)
	case path == "/fault":
		s.setFault(ctx)
	case len(path) > len(chat.PathRuns) && path[:len(chat.PathRuns)] == chat.PathRuns:
		s.handleRun(ctx, path[len(chat.PathRuns):])
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// complete starts a run and streams it.
func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var in chat.Request
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		decline(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	r := newRun(string(ctx.Request.Header.Peek(chat.HeaderRun)), in)
	if !s.admit(r) {
		decline(ctx, fasthttp.StatusServiceUnavailable, "engine is full")
		return
	}
	s.stream(ctx, r, 0, true)
}

// handleRun resumes a run at an offset, or cancels it.
func (s *Server) handleRun(ctx *fasthttp.RequestCtx, id string) {
	s.mu.Lock()
	r := s.runs[id]
	s.mu.Unlock()
	if r == nil {
		ctx.Error(fmt.Sprintf("run %q does not exist", id), fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		s.stop(r)
		reply(ctx, fasthttp.StatusOK, r.usage())
		return
	}
	offset, err := strconv.ParseInt(string(ctx.Request.Header.Peek(chat.HeaderOffset)), 10, 64)
	if err != nil {
		ctx.Error("offset is not a number", fasthttp.StatusBadRequest)
		return
	}
	s.stream(ctx, r, offset, false)
}

func newRun(id string, in chat.Request) *run {
	var prompt int64
	contents := make([][]byte, len(in.Messages))
	for i, m := range in.Messages {
		contents[i] = m.Content
		prompt += PromptTokens(m.Content)
	}
	maxTokens := int64(defaultMaxTokens)
	if in.MaxTokens != nil {
		maxTokens = *in.MaxTokens
	}
	return &run{
		id:      id,
		seed:    Seed(contents...),
		model:   in.Model,
		prompt:  prompt,
		max:     maxTokens,
		urgent:  in.Priority != chat.PriorityLong,
		granted: make(chan struct{}),
		cancel:  make(chan struct{}),
	}
}

// PromptTokens returns the stand-in's token count of a message's content: one for every four bytes, rounded up.
func PromptTokens(content []byte) int64 {
	return int64(len(content)+3) / 4
}

// Seed returns the seed of the answer to messages with the contents.
func Seed(contents ...[]byte) uint64 {
	h := fnv.New64a()
	for _, c := range contents {
		_, _ = h.Write(c)
	}
	return h.Sum64()
}

// Token returns the text of token i of the answer to a request with the seed.
func Token(seed uint64, i int64) string {
	x := seed ^ uint64(i+1)*0x9e3779b97f4a7c15
	x ^= x >> 29
	return fmt.Sprintf("%03x ", x%4096)
}

// admit gives the run a slot or a place in the queue.
func (s *Server) admit(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Decline || len(s.waiting) >= s.MaxQueue {
		s.counts.Declined++
		return false
	}
	s.arrived++
	r.sequence = s.arrived
	s.runs[r.id] = r
	s.waiting = append(s.waiting, r)
	s.grant()
	return true
}

// grant gives free slots to the waiting runs, urgent ones first. The caller holds mu.
func (s *Server) grant() {
	sort.SliceStable(s.waiting, func(i, j int) bool {
		a, b := s.waiting[i], s.waiting[j]
		if a.urgent != b.urgent {
			return a.urgent
		}
		return a.sequence < b.sequence
	})
	for s.running < s.Slots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.counts.Runs[r.id]++
		s.counts.Prompt[r.id] += r.prompt
		close(r.granted)
		go s.generate(r)
	}
}

// generate produces the tokens of the run until it is complete or cancelled.
func (s *Server) generate(r *run) {
	defer s.release(r)
	tick := time.NewTicker(s.TokenInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.cancel:
			return
		case <-tick.C:
		}
		if r.advance() {
			return
		}
	}
}

// advance adds one token and reports whether the run is over.
func (r *run) advance() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return true
	}
	r.generated++
	r.finished = r.generated >= r.max
	return r.finished
}

func (s *Server) release(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Generated[r.id] = r.usage().CompletionTokens
	s.running--
	s.grant()
}

// stop cancels the run, whether it waits or generates.
func (s *Server) stop(r *run) {
	r.mu.Lock()
	first := !r.cancelled && !r.finished
	r.cancelled = true
	r.mu.Unlock()
	if !first {
		return
	}
	close(r.cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
	for i, w := range s.waiting {
		if w == r {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

func (r *run) usage() chat.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	prompt := int64(0)
	select {
	case <-r.granted:
		prompt = r.prompt
	default:
	}
	return chat.Usage{
		PromptTokens:     prompt,
		CompletionTokens: r.generated,
		TotalTokens:      prompt + r.generated,
	}
}

func (r *run) progress() (generated int64, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generated, r.finished || r.cancelled
}

// stream sends the run's tokens from the offset on as events. A run whose owner goes away is cancelled.
func (s *Server) stream(ctx *fasthttp.RequestCtx, r *run, offset int64, owner bool) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(chat.HeaderRun, r.id)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := s.writeEvents(w, r, offset)
		if err != nil && owner && !s.currentFault().Silent {
			s.stop(r)
		}
	})
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
		generated, over := r.progress()
		f := s.currentFault()
		if f.Silent {
			<-tick.C
			continue
		}
		for ; sent < generated; sent++ {
			writeChunk(w, r.chunk(Token(r.seed, sent)))
			if f.CutAfter > 0 && sent-start+1 >= f.CutAfter {
				return fmt.Errorf("cut after %d tokens", f.CutAfter)
			}
		}
		if over {
			break
		}
		if err := w.Flush(); err != nil {
			return err
		}
		<-tick.C
	}
	last := r.chunk("")
	reason := finishStop
	last.Choices[0].FinishReason = &reason
	writeChunk(w, last)
	usage := r.usage()
	end := r.chunk("")
	end.Choices = []chat.ChunkChoice{}
	end.Usage = &usage
	writeChunk(w, end)
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

func (s *Server) listModels(ctx *fasthttp.RequestCtx) {
	var out chat.ModelList
	out.Object = "list"
	for _, m := range s.Models {
		out.Data = append(out.Data, chat.Model{ID: m, Object: "model"})
	}
	reply(ctx, fasthttp.StatusOK, out)
}

// Load is the engine's own report of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

func (s *Server) reportLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, Load{Running: s.running, Waiting: len(s.waiting), Slots: s.Slots})
}

func (s *Server) setFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
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

func decline(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Error(text, status)
	ctx.Response.Header.Set(chat.HeaderDeclined, "1")
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
