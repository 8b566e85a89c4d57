package witness

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/inner"
)

const shardCount = 64

// ErrOtherIncarnation reports that a call was meant for an earlier router at this address.
var ErrOtherIncarnation = errors.New("witness is another incarnation")

// Books holds what this router witnesses.
type Books struct {
	// Self returns the incarnation of this router.
	Self func() string

	once   sync.Once
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard is the part of the books whose names hash to it.
type shard struct {
	mu    sync.Mutex // guards books
	books map[name]*book
}

// name is one term of a holding.
type name struct {
	holding string
	term    uint64
}

// book holds the entries of one term. A sealed book is kept as long as the
// process lives: it must go on refusing a holder that wakes late.
type book struct {
	seq     uint64
	sealed  bool
	entries map[string]inner.WitnessEntry // by run id
}

// Append remembers the parts, but for those of sealed books.
//
// The error is ErrOtherIncarnation.
func (b *Books) Append(in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	if in.Witness != b.Self() {
		return inner.WitnessAppendAck{}, ErrOtherIncarnation
	}
	var ack inner.WitnessAppendAck
	for i, part := range in.Books {
		if !b.append(part) {
			ack.Sealed = append(ack.Sealed, i)
		}
	}
	return ack, nil
}

// append reports whether the part is remembered.
func (b *Books) append(part inner.WitnessBook) bool {
	n := name{holding: part.Holding, term: part.Term}
	s := b.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	bk := s.book(n)
	if bk.sealed {
		return false
	}
	if part.Final {
		delete(s.books, n)
		return true
	}
	if part.Seq <= bk.seq {
		return true
	}
	bk.seq = part.Seq
	if part.Whole {
		clear(bk.entries)
	}
	for _, e := range part.Entries {
		if e.State == inner.EntryDropped {
			delete(bk.entries, e.RunID)
			continue
		}
		bk.entries[e.RunID] = e
	}
	return true
}

// Seal makes the book refuse everything from now on and returns its entries.
//
// The error is ErrOtherIncarnation.
func (b *Books) Seal(in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if in.Witness != b.Self() {
		return inner.WitnessEvidence{}, ErrOtherIncarnation
	}
	n := name{holding: in.Holding, term: in.Term}
	s := b.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	bk := s.book(n)
	bk.sealed = true
	var out inner.WitnessEvidence
	for _, e := range bk.entries {
		out.Entries = append(out.Entries, e)
	}
	slices.SortFunc(out.Entries, func(a, c inner.WitnessEntry) int { return strings.Compare(a.RunID, c.RunID) })
	return out, nil
}

// Forget drops the entries of a sealed book whose holding has been closed.
func (b *Books) Forget(holding string, term uint64) {
	n := name{holding: holding, term: term}
	s := b.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if bk, ok := s.books[n]; ok && bk.sealed {
		bk.entries = nil
	}
}

// State describes one book for the process's state dump.
type State struct {
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
	Sealed  bool   `json:"sealed"`
	Entries int    `json:"entries"`
}

// State returns the books as they are now.
func (b *Books) State() []State {
	b.init()
	var out []State
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for n, bk := range s.books {
			out = append(out, State{Holding: n.holding, Term: n.term, Sealed: bk.sealed, Entries: len(bk.entries)})
		}
		s.mu.Unlock()
	}
	return out
}

func (b *Books) init() {
	b.once.Do(func() { b.seed = maphash.MakeSeed() })
}

func (b *Books) shard(n name) *shard {
	b.init()
	return &b.shards[maphash.Comparable(b.seed, n)%shardCount]
}

// book returns the book, creating it if there is none. The caller holds mu.
func (s *shard) book(n name) *book {
	if s.books == nil {
		s.books = make(map[name]*book)
	}
	bk, ok := s.books[n]
	if !ok {
		bk = &book{entries: make(map[string]inner.WitnessEntry)}
		s.books[n] = bk
	}
	return bk
}
