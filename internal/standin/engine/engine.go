package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"sort"
	"strconv"
	"strings"
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
	finishLength         = "length" // finish reason: the token limit was reached
)

// Server is an engine that answers chat completions on one address. Zero values of
// TokenInterval, Slots, MaxQueue and ResumeGrace stand for defaults.
type Server struct {
	// Models are the names of the models served.
	Models []string
	// TokenInterval is the time between two tokens of a run, without Batch.Slowdown.
	TokenInterval time.Duration
	// Slots is the maximum number of runs that generate at the same time.
	Slots int
	// MaxQueue is the maximum number of runs that wait for a slot.
	MaxQueue int
	// ResumeGrace is the time after which a run without a reader is cancelled.
	ResumeGrace time.Duration

	// Batch configures how the speed depends on the load.
	Batch Batch

	conns fault.Listener
	cache prefixCache

	mu          sync.Mutex      // guards the fields below
	running     int             // runs that hold a slot
	waiting     []*run          // runs that wait for a slot
	runs        map[string]*run // all admitted runs by id, kept for resuming
	counts      Counts
	fault       Fault
	lastArrival int64 // arrival number of the most recent run

	reported   Load      // answer of /load
	reportedAt time.Time // when reported was last replaced
	nextReport Load      // snapshot taken at reportedAt, published at the next refresh
}

// Counts is the work that the engine has done since it started, served at /counts.
// Run ids are those of the chat.HeaderRun request header.
type Counts struct {
	// Runs is the number of runs that were given a slot, by run id.
	Runs map[string]int `json:"runs"`
	// Generated is the number of completion tokens of ended runs, by run id.
	Generated map[string]int64 `json:"generated"`
	// Prompt is the number of prompt tokens processed, by run id.
	Prompt map[string]int64 `json:"prompt"`
	// Crashes is the number of crashes because of Fault.CrashOn.
	Crashes int64 `json:"crashes"`
	// Declined is the number of completions refused because of a fault or a full queue.
	Declined int64 `json:"declined"`
	// Cancelled is the number of runs cancelled.
	Cancelled int64 `json:"cancelled"`
	// CacheHits is the number of prompts whose prefix was cached; only the answer of
	// /counts sets it.
	CacheHits int64 `json:"cache_hits"`
	// CacheMisses is the number of prompts whose prefix was not cached; only the
	// answer of /counts sets it.
	CacheMisses int64 `json:"cache_misses"`
}

// run is one generation. Its tokens depend only on its request, so that a retried
// run gives the same answer.
type run struct {
	id           string
	seed         uint64 // determines the tokens
	model        string
	promptTokens int64
	maxTokens    int64
	urgent       bool
	shared       string        // contents of the messages but the last
	prefixHash   uint64        // zero if the prompt is too short to cache
	arrival      int64         // arrival number, by which runs of equal urgency queue
	slotAssigned chan struct{} // closed when the run gets a slot
	cancel       chan struct{} // closed when the run is cancelled

	mu        sync.Mutex // guards the fields below
	generated int64      // tokens so far
	cancelled bool
	finished  bool // all maxTokens are generated
	readers   int  // streams that read the run
}

// Run listens on the TCP address addr and serves until the listener fails.
func (s *Server) Run(addr string) error {
	s.initialize()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for engine: %w", err)
	}
	return s.serve(ln)
}

// initialize sets the defaults and resets the runs and counts.
func (s *Server) initialize() {
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

// Serve serves on ln until it fails.
func (s *Server) Serve(ln net.Listener) error {
	s.initialize()
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
		s.serveModels(ctx)
	case path == "/load":
		s.serveLoad(ctx)
	case path == "/cache-events":
		s.serveCacheEvents(ctx)
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

// complete admits a run and streams its answer.
func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var in chat.Request
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeDeclined(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	r := newRun(string(ctx.Request.Header.Peek(chat.HeaderRun)), in)
	if !s.admit(r) {
		writeDeclined(ctx, fasthttp.StatusServiceUnavailable, "engine is full")
		return
	}
	s.stream(ctx, r, 0)
}

// handleRun cancels the run for a DELETE request and otherwise resumes its stream
// at the token offset in the header.
func (s *Server) handleRun(ctx *fasthttp.RequestCtx, id string) {
	s.mu.Lock()
	r := s.runs[id]
	s.mu.Unlock()
	if r == nil {
		ctx.Error(fmt.Sprintf("run %q does not exist", id), fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		s.cancelRun(r)
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

// newRun returns the run for a chat request.
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
		id:           id,
		seed:         Seed(contents...),
		model:        in.Model,
		promptTokens: prompt,
		maxTokens:    maxTokens,
		shared:       string(bytes.Join(contents[:max(0, len(contents)-1)], nil)),
		urgent:       in.Priority != chat.PriorityLong,
		prefixHash:   chat.PrefixHash(in.Messages),
		slotAssigned: make(chan struct{}),
		cancel:       make(chan struct{}),
	}
}

// PromptTokens returns the number of prompt tokens of a message's content: one for
// every four bytes, rounded up.
func PromptTokens(content []byte) int64 {
	return int64(len(content)+3) / 4
}

// Seed returns the seed of the answer to messages with the given contents.
func Seed(contents ...[]byte) uint64 {
	h := fnv.New64a()
	for _, c := range contents {
		_, _ = h.Write(c)
	}
	return h.Sum64()
}

// Token returns the text of token i, counted from 0, of the answer with the given seed.
func Token(seed uint64, i int64) string {
	x := seed ^ uint64(i+1)*0x9e3779b97f4a7c15
	x ^= x >> 29
	return fmt.Sprintf("%03x ", x%4096)
}

// admit queues the run, which starts at once if a slot is free, and reports whether
// the run was accepted.
func (s *Server) admit(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Decline || len(s.waiting) >= s.MaxQueue {
		s.counts.Declined++
		return false
	}
	s.lastArrival++
	r.arrival = s.lastArrival
	s.runs[r.id] = r
	s.waiting = append(s.waiting, r)
	s.assignSlots()
	return true
}

// assignSlots starts waiting runs in the free slots, urgent ones first and otherwise
// in the order of arrival. The caller holds mu.
func (s *Server) assignSlots() {
	sort.SliceStable(s.waiting, func(i, j int) bool {
		a, b := s.waiting[i], s.waiting[j]
		if a.urgent != b.urgent {
			return a.urgent
		}
		return a.arrival < b.arrival
	})
	for s.running < s.Slots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.counts.Runs[r.id]++
		s.counts.Prompt[r.id] += r.promptTokens
		close(r.slotAssigned)
		go s.generate(r)
	}
}

// generate produces the run's tokens until it has finished or is cancelled.
func (s *Server) generate(r *run) {
	defer s.releaseSlot(r)
	if !s.prefill(r) {
		return
	}
	if f := s.currentFault(); f.CrashOn != "" && strings.Contains(r.shared, f.CrashOn) {
		s.crash(time.Duration(f.CrashMs) * time.Millisecond)
		return
	}
	tick := time.NewTicker(s.currentTokenInterval())
	defer tick.Stop()
	for {
		select {
		case <-r.cancel:
			return
		case <-tick.C:
		}
		tick.Reset(s.currentTokenInterval())
		if r.generateToken() {
			return
		}
	}
}

// crash closes all connections, refuses others for a time and forgets all runs.
func (s *Server) crash(downtime time.Duration) {
	s.conns.Crash(downtime)
	s.mu.Lock()
	s.counts.Crashes++
	runs := s.runs
	s.runs = make(map[string]*run)
	s.mu.Unlock()
	for _, r := range runs {
		s.cancelRun(r)
	}
}

// generateToken adds one token and reports whether the run has ended.
func (r *run) generateToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return true
	}
	r.generated++
	r.finished = r.generated >= r.maxTokens
	return r.finished
}

// releaseSlot records the tokens of an ended run and gives its slot to the next run.
func (s *Server) releaseSlot(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Generated[r.id] = r.usage().CompletionTokens
	s.running--
	s.assignSlots()
}

// cancelRun cancels a waiting or generating run.
//
// It holds mu throughout, so that a waiting run cannot start after the cancellation
// has reported its usage.
func (s *Server) cancelRun(r *run) {
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

// usage returns the run's usage so far; the prompt counts once the run has a slot.
func (r *run) usage() chat.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	prompt := int64(0)
	select {
	case <-r.slotAssigned:
		prompt = r.promptTokens
	default:
	}
	return chat.Usage{
		PromptTokens:     prompt,
		CompletionTokens: r.generated,
		TotalTokens:      prompt + r.generated,
	}
}

func (s *Server) serveModels(ctx *fasthttp.RequestCtx) {
	var out chat.ModelList
	out.Object = "list"
	for _, m := range s.Models {
		out.Data = append(out.Data, chat.Model{ID: m, Object: "model"})
	}
	httpjson.Write(ctx, fasthttp.StatusOK, out)
}

// writeDeclined refuses a request and marks the answer as not run.
func writeDeclined(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Error(text, status)
	ctx.Response.Header.Set(chat.HeaderNotRun, "1")
	ctx.Response.Header.SetBytesV(chat.HeaderRun, ctx.Request.Header.Peek(chat.HeaderRun))
}
