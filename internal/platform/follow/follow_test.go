package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
)

// fakeStore is one table with its history.
type fakeStore struct {
	mu      sync.Mutex // guards the fields below
	rows    map[string]table.Row
	version uint64
	era     uint64
	kept    uint64 // changes after this version are kept
	away    bool   // no call is answered in time
	refuses bool   // calls are refused at once
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]table.Row), changed: make(chan struct{})}
}

// put writes a row, or removes it if value is empty.
func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = table.Row{Place: table.Place{Table: "t", Key: key}, Version: s.version, Value: []byte(value), Deleted: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
		}
	}
	s.kept = s.version
}

// comeBack makes the store what it was when it had a version, in a new era. The rows that
// are given are what it has then.
func (s *fakeStore) comeBack(version uint64, rows ...table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[string]table.Row)
	for _, r := range rows {
		s.rows[r.Key] = r
	}
	s.era++
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// row returns a row as it is now.
func (s *fakeStore) row(key string) table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

func (s *fakeStore) set(away, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.refuses = away, refuses
}

// reached waits for the call's end if the store does not answer.
func (s *fakeStore) reached(ctx context.Context) error {
	s.mu.Lock()
	away, refuses := s.away, s.refuses
	s.mu.Unlock()
	if away {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
	}
	if refuses {
		return table.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) read(ctx context.Context, _ table.Range) (table.Page, error) {
	if err := s.reached(ctx); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := table.Page{Stamp: table.Stamp{Era: s.era, Version: s.version}}
	for _, r := range s.rows {
		if !r.Deleted {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *fakeStore) watch(ctx context.Context, _ string, since uint64, wait time.Duration) (table.Page, error) {
	end := time.After(wait)
	for {
		if err := s.reached(ctx); err != nil {
			return table.Page{}, err
		}
		s.mu.Lock()
		changed := s.changed
		page := table.Page{Stamp: table.Stamp{Era: s.era, Version: s.version}}
		for _, r := range s.rows {
			if r.Version > since {
				page.Rows = append(page.Rows, r)
			}
		}
		lost := since < s.kept || since > s.version
		s.mu.Unlock()
		if lost {
			return table.Page{}, table.ErrHistoryLost
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-end:
			return page, nil
		case <-ctx.Done():
			return table.Page{}, fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
		}
	}
}

// copyOf follows the store into a map until the test ends.
type copyOf struct {
	*Table
	mu   sync.Mutex // guards rows
	rows map[string]string
	// fromCopy are the rows that came from an older copy.
	fromCopy []string
}

func followed(t *testing.T, s *fakeStore, ask func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error), set ...func(*Table)) *copyOf {
	t.Helper()
	c := &copyOf{rows: make(map[string]string)}
	if ask == nil {
		ask = func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error) {
			return inner.FollowResponse{}, table.ErrUnavailable
		}
	}
	c.Table = &Table{Name: "t", Read: s.read, Watch: s.watch, Ask: ask, OnRows: func(rows []table.Row, fromCopy bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range rows {
			if fromCopy {
				c.fromCopy = append(c.fromCopy, r.Key)
			}
			if r.Deleted {
				delete(c.rows, r.Key)
				continue
			}
			c.rows[r.Key] = string(r.Value)
		}
	}}
	for _, f := range set {
		f(c.Table)
	}
	c.Prepare()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = c.Run(ctx) }()
	return c
}

func (c *copyOf) assertRows(t *testing.T, want map[string]string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.DeepEqual(t, c.rows, want)
}

func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := followed(t, s, nil)
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"a": "1"})
		s.put("b", "2")
		s.put("a", "")
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"b": "2"})
	})
}

func TestReadsAnewWhenHistoryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		s.put("b", "2")
		c := followed(t, s, nil)
		time.Sleep(time.Millisecond)
		s.set(true, false)
		time.Sleep(pollWait + time.Second)
		s.put("a", "")
		s.compact()
		s.set(false, false)
		time.Sleep(2 * time.Second)
		c.assertRows(t, map[string]string{"b": "2"})
	})
}

func TestLearnsFromOthersWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		well, refusing := newFakeStore(), newFakeStore()
		for _, s := range []*fakeStore{well, refusing} {
			s.put("a", "1")
			s.put("b", "2")
		}
		other := followed(t, well, nil)
		c := followed(t, refusing, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.Answer(in), nil
		})
		time.Sleep(time.Millisecond)
		refusing.set(false, true)
		time.Sleep(pollWait)
		well.put("a", "")
		well.put("c", "3")
		time.Sleep(pollWait)
		c.assertRows(t, map[string]string{"b": "2", "c": "3"})
	})
}

func TestDisturbanceEndsWhenTheStoreAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := followed(t, s, nil)
		time.Sleep(time.Millisecond)
		_, lost := c.Regained()
		assert.Assert(t, !lost)
		s.set(true, false)
		time.Sleep(3 * pollWait)
		assert.Assert(t, c.Failing())
		s.set(false, false)
		// The first poll that the store holds begins within the longest call and backoff,
		// and says when it ends that the store was well all the while.
		time.Sleep(pollWait + answerTime + maxBackoff + pollWait + time.Millisecond)
		regained, _ := c.Regained()
		assert.Assert(t, time.Since(regained) >= pollWait, "regained %v ago", time.Since(regained))
	})
}

// TestReturnOfTheStoreIsNoticedAtOnce lets the store come back without a change.
func TestReturnOfTheStoreIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := followed(t, s, nil)
		time.Sleep(time.Second)
		s.set(false, true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.Failing())
		s.set(false, false)
		time.Sleep(2 * maxBackoff)
		assert.Assert(t, !c.Failing())
	})
}

// TestFollowsAStoreThatComesBackFromACopy lets versions be given out again, up to one that
// is known already and beyond it.
func TestFollowsAStoreThatComesBackFromACopy(t *testing.T) {
	for _, writes := range []int{0, 1, 2, 3, 10} {
		t.Run(fmt.Sprintf("%d writes at once", writes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("a", "1")
				old := s.row("a")
				c := followed(t, s, nil)
				s.put("a", "2")
				s.put("b", "1")
				s.put("c", "1")
				time.Sleep(time.Second)
				s.comeBack(1, old)
				want := map[string]string{"a": "1"}
				for n := range writes {
					s.put("d", fmt.Sprint(n))
					want["d"] = fmt.Sprint(n)
				}
				c.EraBegan(1)
				time.Sleep(time.Millisecond)
				c.assertRows(t, want)
				s.put("e", "1")
				want["e"] = "1"
				time.Sleep(time.Millisecond)
				c.assertRows(t, want)
				regained, ok := c.Regained()
				assert.Assert(t, ok && time.Since(regained) < time.Second, "what the copy lacks counts as gone at once")
			})
		})
	}
}

// TestPeersOfAnEarlierEraDoNotCount lets another router answer that has not heard of the
// store's return.
func TestPeersOfAnEarlierEraDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		behind, s := newFakeStore(), newFakeStore()
		for _, store := range []*fakeStore{behind, s} {
			store.put("a", "1")
		}
		behind.put("a", "2")
		other := followed(t, behind, nil)
		c := followed(t, s, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.Answer(in), nil
		})
		time.Sleep(time.Second)
		s.comeBack(1, s.row("a"))
		s.put("a", "3")
		time.Sleep(time.Millisecond)
		c.HeardFrom("other")
		time.Sleep(time.Second)
		c.assertRows(t, map[string]string{"a": "3"})
	})
}

// TestPeersTellOfANewEra lets only another router reach the store after its return.
func TestPeersTellOfANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		for _, store := range []*fakeStore{s, cut} {
			store.put("a", "1")
			store.put("a", "2")
		}
		other := followed(t, s, nil)
		c := followed(t, cut, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.Answer(in), nil
		})
		time.Sleep(time.Second)
		cut.set(false, true)
		s.comeBack(0)
		s.put("b", "1")
		time.Sleep(4 * pollWait)
		c.assertRows(t, map[string]string{"b": "1"})
	})
}

// TestNewerContentStays lets the copy show an older content of a row; a router that has
// only seen that learns the newer one from others.
func TestNewerContentStays(t *testing.T) {
	byValue := func(t *Table) {
		t.Newer = func(a, b table.Row) bool { return string(a.Value) > string(b.Value) }
	}
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		old := s.row("a")
		c := followed(t, s, nil, byValue)
		s.put("a", "2")
		time.Sleep(time.Second)
		s.comeBack(1, old)
		time.Sleep(time.Second)
		c.assertRows(t, map[string]string{"a": "2"})
		young := followed(t, s, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return c.Answer(in), nil
		}, byValue)
		time.Sleep(time.Second)
		young.assertRows(t, map[string]string{"a": "1"})
		young.HeardFrom("c")
		time.Sleep(time.Second)
		young.assertRows(t, map[string]string{"a": "2"})
		s.put("a", "3")
		time.Sleep(time.Second)
		for _, f := range []*copyOf{c, young} {
			f.assertRows(t, map[string]string{"a": "3"})
		}
	})
}
