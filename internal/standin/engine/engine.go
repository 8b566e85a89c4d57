package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/standin/fault"
)

const (
	defaultTokenInterval = 5 * time.Millisecond
	defaultSlots         = 32
	defaultMaxTokens     = 64
	defaultResumeGrace   = 2 * time.Second
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
	// ResumeGrace is how long a run goes on without a reader.
	ResumeGrace time.Duration

	// Batch describes how the speed depends on the work.
	Batch Batch

	conns fault.Listener
	cache prefixCache

	mu      sync.Mutex // guards the fields below
	running int
	waiting []*run
	runs    map[string]*run
	counts  Counts
	fault   Fault
	arrived int64

	reported   Load
	reportedAt time.Time
	current    Load
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
	// CacheHits and CacheMisses count the prompts whose prefix was and was not cached.
	CacheHits   int64 `json:"cache_hits"`
	CacheMisses int64 `json:"cache_misses"`
}

// run is one generation; its answer is a function of its request alone.
type run struct {
	id       string
	seed     uint64
	model    string
	prompt   int64
	max      int64
	urgent   bool
	prefix   uint64
	sequence int64
	granted  chan struct{} // closed when the run gets a slot
	cancel   chan struct{} // closed when the run is cancelled

	mu        sync.Mutex // guards the fields below
	generated int64
	cancelled bool
	finished  bool
	readers   int
}

// Run serves on addr until the listener fails.
func (s *Server) Run(addr string) error {
	s.start()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for engine: %w", err)
	}
	return s.serve(ln)
}

// start sets the defaults.
func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if s.ResumeGrace == 0 {
		s.ResumeGrace = defaultResumeGrace
	}
}

// Serve serves on the listener until it fails.
func (s *Server) Serve(ln net.Listener) error {
	s.start()
	return s.serve(ln)
}

func (s *Server) serve(ln net.Listener) error {
	s.conns.Listener = ln
	server := &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}
	if err := server.Serve(&s.conns); err != nil {
		return fmt.Errorf("serve engine on %s: %w", ln.Addr(), err)
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
	case path == "/cache-events":
		s.showCacheEvents(ctx)
	case path == "/counts":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.CacheHits, s.counts.CacheMisses = s.cache.counts()
		httpjson.Write(ctx, fasthttp.StatusOK, s.counts)
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
	s.stream(ctx, r, 0)
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
		httpjson.Write(ctx, fasthttp.StatusOK, r.usage())
		return
	}
	offset, err := strconv.ParseInt(string(ctx.Request.Header.Peek(chat.HeaderOffset)), 10, 64)
	if err != nil {
		ctx.Error("offset is not a number", fasthttp.StatusBadRequest)
		return
	}
	s.stream(ctx, r, offset)
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
		prefix:  chat.PrefixHash(in.Messages),
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
	if !s.prefill(r) {
		return
	}
	tick := time.NewTicker(s.interval())
	defer tick.Stop()
	for {
		select {
		case <-r.cancel:
			return
		case <-tick.C:
		}
		tick.Reset(s.interval())
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
//
// It holds mu throughout, so that a run that has not begun cannot begin after
// its usage has been told.
func (s *Server) stop(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.mu.Lock()
	first := !r.cancelled && !r.finished
	r.cancelled = true
	r.mu.Unlock()
	if !first {
		return
	}
	close(r.cancel)
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

func (s *Server) listModels(ctx *fasthttp.RequestCtx) {
	var out chat.ModelList
	out.Object = "list"
	for _, m := range s.Models {
		out.Data = append(out.Data, chat.Model{ID: m, Object: "model"})
	}
	httpjson.Write(ctx, fasthttp.StatusOK, out)
}

func decline(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Error(text, status)
	ctx.Response.Header.Set(chat.HeaderDeclined, "1")
}
