package witness

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/inner"
)

// shardCount is the number of independently locked shards of Books.
const shardCount = 64

// ErrWrongIncarnation reports that the call names another router incarnation as the
// witness, such as an earlier one at the same address.
var ErrWrongIncarnation = errors.New("witness is another incarnation")

// Books records, for other routers, which requests they have started from their
// holdings. There is one book per term of a holding. The zero value with SelfID set is
// ready for use, and its methods may be called concurrently.
type Books struct {
	// SelfID returns the ID of this router's incarnation.
	SelfID func() string

	once   sync.Once // initialises seed
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard holds the books whose keys hash to it.
type shard struct {
	mu    sync.Mutex // guards books
	books map[bookKey]*book
}

// bookKey identifies a book: one term of a holding.
type bookKey struct {
	holding string
	term    uint64
}

// book holds the latest entry of each request of one term. A sealed book is kept for
// as long as the process runs, because it must refuse updates of a holder that
// resumes after a long pause.
type book struct {
	seq     uint64 // of the last update that was applied
	sealed  bool
	entries map[string]inner.WitnessEntry // by run ID; nil after FreeEntries
}

// Append applies the updates to their books and returns the indexes of those refused
// because their book is sealed.
//
// The error is ErrWrongIncarnation.
func (b *Books) Append(in inner.WitnessAppend) (inner.WitnessAppendAck, error) {
	if in.Witness != b.SelfID() {
		return inner.WitnessAppendAck{}, ErrWrongIncarnation
	}
	var ack inner.WitnessAppendAck
	for i, update := range in.Books {
		if !b.append(update) {
			ack.Sealed = append(ack.Sealed, i)
		}
	}
	return ack, nil
}

// append applies the update and reports whether it is acknowledged: false if the
// book is sealed. An update that was applied before is acknowledged again.
func (b *Books) append(update inner.WitnessBook) bool {
	key := bookKey{holding: update.Holding, term: update.Term}
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bk := s.getOrCreate(key)
	if bk.sealed {
		return false
	}
	if update.Final {
		delete(s.books, key)
		return true
	}
	if update.Seq <= bk.seq {
		return true
	}
	bk.seq = update.Seq
	if update.Whole {
		clear(bk.entries)
	}
	for _, e := range update.Entries {
		if e.State == inner.EntryDropped {
			delete(bk.entries, e.RunID)
			continue
		}
		bk.entries[e.RunID] = e
	}
	return true
}

// Seal makes the book refuse all further updates and returns its entries, sorted by
// run ID. Sealing a book again returns the same entries, until FreeEntries is called.
//
// The error is ErrWrongIncarnation.
func (b *Books) Seal(in inner.WitnessSeal) (inner.WitnessEvidence, error) {
	if in.Witness != b.SelfID() {
		return inner.WitnessEvidence{}, ErrWrongIncarnation
	}
	key := bookKey{holding: in.Holding, term: in.Term}
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	bk := s.getOrCreate(key)
	bk.sealed = true
	var out inner.WitnessEvidence
	for _, e := range bk.entries {
		out.Entries = append(out.Entries, e)
	}
	slices.SortFunc(out.Entries, func(a, c inner.WitnessEntry) int { return strings.Compare(a.RunID, c.RunID) })
	return out, nil
}

// FreeEntries frees the entries of a sealed book whose holding has been closed. The book
// continues to refuse updates.
func (b *Books) FreeEntries(holding string, term uint64) {
	key := bookKey{holding: holding, term: term}
	s := b.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if bk, ok := s.books[key]; ok && bk.sealed {
		bk.entries = nil
	}
}

// State describes one book in the state dump of the process.
type State struct {
	Holding string `json:"holding"`
	Term    uint64 `json:"term"`
	Sealed  bool   `json:"sealed"`
	Entries int    `json:"entries"`
}

// State returns a description of each book, in no particular order.
func (b *Books) State() []State {
	b.init()
	var out []State
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for key, bk := range s.books {
			out = append(out, State{Holding: key.holding, Term: key.term, Sealed: bk.sealed, Entries: len(bk.entries)})
		}
		s.mu.Unlock()
	}
	return out
}

// init sets the hash seed on first use.
func (b *Books) init() {
	b.once.Do(func() { b.seed = maphash.MakeSeed() })
}

// shardOf returns the shard that holds the book with the key.
func (b *Books) shardOf(key bookKey) *shard {
	b.init()
	return &b.shards[maphash.Comparable(b.seed, key)%shardCount]
}

// getOrCreate returns the book with the key, creating it if absent. The caller holds mu.
func (s *shard) getOrCreate(key bookKey) *book {
	if s.books == nil {
		s.books = make(map[bookKey]*book)
	}
	bk, ok := s.books[key]
	if !ok {
		bk = &book{entries: make(map[string]inner.WitnessEntry)}
		s.books[key] = bk
	}
	return bk
}
