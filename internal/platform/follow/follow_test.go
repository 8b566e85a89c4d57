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

// fakeStore is a store with one table and its change history.
type fakeStore struct {
	mu           sync.Mutex // guards the fields below
	rows         map[string]table.Row
	version      uint64
	era          uint64
	oldestKept   uint64 // the oldest version after which all changes are kept
	unresponsive bool   // calls block until their context ends
	refusing     bool   // calls fail at once with ErrUnavailable
	changed      chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]table.Row), changed: make(chan struct{})}
}

// put writes a row, or deletes it if value is empty.
func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = table.Row{Location: table.Location{Table: "t", Key: key}, Version: s.version, Value: []byte(value), Deleted: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the change history, including the tombstones.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.rows {
		if r.Deleted {
			delete(s.rows, key)
		}
	}
	s.oldestKept = s.version
}

// rollBack rolls the store back to an older version with the given rows, in a new era.
func (s *fakeStore) rollBack(version uint64, rows ...table.Row) {
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

// row returns the current row.
func (s *fakeStore) row(key string) table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

func (s *fakeStore) setFaults(unresponsive, refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive, s.refusing = unresponsive, refusing
}

// checkReachable returns an error if the store refuses calls, or, if the store is unresponsive, once the call's
// context has ended or the time for an answer is over.
func (s *fakeStore) checkReachable(ctx context.Context, timeout time.Duration) error {
	s.mu.Lock()
	unresponsive, refusing := s.unresponsive, s.refusing
	s.mu.Unlock()
	if unresponsive {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
	}
	if refusing {
		return table.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) read(ctx context.Context, _ table.Range, timeout time.Duration) (table.Page, error) {
	if err := s.checkReachable(ctx, timeout); err != nil {
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

func (s *fakeStore) watch(ctx context.Context, p table.Poll, timeout time.Duration) (table.Page, error) {
	since, began := p.Since, time.Now()
	waited := time.After(p.Wait)
	for {
		if err := s.checkReachable(ctx, timeout+p.Wait-time.Since(began)); err != nil {
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
		historyLost := since < s.oldestKept || since > s.version
		s.mu.Unlock()
		if historyLost {
			return table.Page{}, table.ErrCompacted
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-waited:
			return page, nil
		case <-ctx.Done():
			return table.Page{}, fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
		}
	}
}

// follower is a Table whose rows are kept in a map.
type follower struct {
	*Table
	mu   sync.Mutex // guards rows
	rows map[string]string
	// rolledBackKeys are the keys of the rows that were delivered as rolled back.
	rolledBackKeys []string
}

// startFollower follows the store until the test ends. Without ask, no other router answers.
func startFollower(t *testing.T, s *fakeStore, ask func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error), options ...func(*Table)) *follower {
	t.Helper()
	c := &follower{rows: make(map[string]string)}
	if ask == nil {
		ask = func(context.Context, string, inner.FollowRequest) (inner.FollowResponse, error) {
			return inner.FollowResponse{}, table.ErrUnavailable
		}
	}
	c.Table = &Table{Name: "t", Read: s.read, Watch: s.watch, RequestRows: ask, OnRows: func(rows []table.Row, from Source) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range rows {
			if from.RolledBack {
				c.rolledBackKeys = append(c.rolledBackKeys, r.Key)
			}
			if r.Deleted {
				delete(c.rows, r.Key)
				continue
			}
			c.rows[r.Key] = string(r.Value)
		}
	}}
	for _, option := range options {
		option(c.Table)
	}
	c.Init()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = c.Run(ctx) }()
	return c
}

func (c *follower) assertRows(t *testing.T, want map[string]string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.DeepEqual(t, c.rows, want)
}

// TestRowsOfNoUseAreKeptWithoutValues guards against answers to other routers, and memory, that
// grow with what another writer leaves in the table.
func TestRowsOfNoUseAreKeptWithoutValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		s.put("b", "odd")
		c := startFollower(t, s, nil, func(c *Table) {
			c.Valid = func(r table.Row) bool { return string(r.Value) != "odd" }
		})
		time.Sleep(time.Millisecond)
		s.put("a", "odd")
		s.put("c", "1")
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"a": "odd", "b": "odd", "c": "1"})
		kept := make(map[string]string)
		for _, r := range c.ChangesSince(inner.FollowRequest{Table: "t"}).Rows {
			kept[r.Key] = string(r.Value)
		}
		assert.DeepEqual(t, kept, map[string]string{"a": "", "b": "", "c": "1"})
		s.put("a", "2")
		s.put("b", "")
		time.Sleep(time.Millisecond)
		c.assertRows(t, map[string]string{"a": "2", "c": "1"})
	})
}

func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := startFollower(t, s, nil)
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
		c := startFollower(t, s, nil)
		time.Sleep(time.Millisecond)
		s.setFaults(true, false)
		time.Sleep(defaultPollWait + time.Second)
		s.put("a", "")
		s.compact()
		s.setFaults(false, false)
		time.Sleep(2 * time.Second)
		c.assertRows(t, map[string]string{"b": "2"})
	})
}

func TestLearnsFromOthersWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healthy, refusing := newFakeStore(), newFakeStore()
		for _, s := range []*fakeStore{healthy, refusing} {
			s.put("a", "1")
			s.put("b", "2")
		}
		other := startFollower(t, healthy, nil)
		c := startFollower(t, refusing, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.ChangesSince(in), nil
		})
		time.Sleep(time.Millisecond)
		refusing.setFaults(false, true)
		time.Sleep(defaultPollWait)
		healthy.put("a", "")
		healthy.put("c", "3")
		time.Sleep(defaultPollWait)
		c.assertRows(t, map[string]string{"b": "2", "c": "3"})
	})
}

func TestDisturbanceEndsWhenTheStoreAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := startFollower(t, s, nil)
		time.Sleep(time.Millisecond)
		_, failedBefore := c.RecoveredAt()
		assert.Assert(t, !failedBefore)
		s.setFaults(true, false)
		time.Sleep(3 * defaultPollWait)
		assert.Assert(t, c.Failing())
		s.setFaults(false, false)
		// The first poll that succeeds starts within the longest call and backoff after the store
		// answers again. When it ends, it proves that the store was reachable from its start on.
		time.Sleep(defaultPollWait + minAnswerTimeout + maxBackoff + defaultPollWait + time.Millisecond)
		recoveredAt, _ := c.RecoveredAt()
		assert.Assert(t, time.Since(recoveredAt) >= defaultPollWait, "recovered %v ago", time.Since(recoveredAt))
	})
}

// TestReturnOfTheStoreIsNoticedAtOnce guards against a recovery that is only noticed with the
// next change: the store answers again, and no row changes.
func TestReturnOfTheStoreIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		c := startFollower(t, s, nil)
		time.Sleep(time.Second)
		s.setFaults(false, true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.Failing())
		s.setFaults(false, false)
		time.Sleep(2 * maxBackoff)
		assert.Assert(t, !c.Failing())
	})
}

// TestFollowsAStoreThatComesBackFromACopy guards against rows that are missed because a
// rolled-back store assigns versions again, up to the known version and beyond it.
func TestFollowsAStoreThatComesBackFromACopy(t *testing.T) {
	for _, writes := range []int{0, 1, 2, 3, 10} {
		t.Run(fmt.Sprintf("%d writes at once", writes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("a", "1")
				old := s.row("a")
				c := startFollower(t, s, nil)
				s.put("a", "2")
				s.put("b", "1")
				s.put("c", "1")
				time.Sleep(time.Second)
				s.rollBack(1, old)
				want := map[string]string{"a": "1"}
				for n := range writes {
					s.put("d", fmt.Sprint(n))
					want["d"] = fmt.Sprint(n)
				}
				c.ObserveEra(1)
				time.Sleep(time.Millisecond)
				c.assertRows(t, want)
				s.put("e", "1")
				want["e"] = "1"
				time.Sleep(time.Millisecond)
				c.assertRows(t, want)
				recoveredAt, ok := c.RecoveredAt()
				assert.Assert(t, ok && time.Since(recoveredAt) < time.Second, "the rollback must count as a recovery at once")
			})
		})
	}
}

// TestPeersOfAnEarlierEraDoNotCount guards against rows of an earlier era from a router that
// has not noticed that the store was rolled back.
func TestPeersOfAnEarlierEraDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stale, s := newFakeStore(), newFakeStore()
		for _, store := range []*fakeStore{stale, s} {
			store.put("a", "1")
		}
		stale.put("a", "2")
		other := startFollower(t, stale, nil)
		c := startFollower(t, s, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.ChangesSince(in), nil
		})
		time.Sleep(time.Second)
		s.rollBack(1, s.row("a"))
		s.put("a", "3")
		time.Sleep(time.Millisecond)
		c.HintPeer("other", func() bool { return true })
		time.Sleep(time.Second)
		c.assertRows(t, map[string]string{"a": "3"})
	})
}

// TestPeersTellOfANewEra restores the store while only another router can reach it; this one
// must get the new era from the other.
func TestPeersTellOfANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unreachable := newFakeStore(), newFakeStore()
		for _, store := range []*fakeStore{s, unreachable} {
			store.put("a", "1")
			store.put("a", "2")
		}
		other := startFollower(t, s, nil)
		c := startFollower(t, unreachable, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return other.ChangesSince(in), nil
		})
		time.Sleep(time.Second)
		unreachable.setFaults(false, true)
		s.rollBack(0)
		s.put("b", "1")
		time.Sleep(4 * defaultPollWait)
		c.assertRows(t, map[string]string{"b": "1"})
	})
}

// TestNewerContentStays restores the store with older content of a row. A router with the
// newer content must keep it, and a router that has only seen the older must get the newer
// from others.
func TestNewerContentStays(t *testing.T) {
	byValue := func(t *Table) {
		t.Newer = func(a, b table.Row) bool { return string(a.Value) > string(b.Value) }
	}
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		old := s.row("a")
		c := startFollower(t, s, nil, byValue)
		s.put("a", "2")
		time.Sleep(time.Second)
		s.rollBack(1, old)
		time.Sleep(time.Second)
		c.assertRows(t, map[string]string{"a": "2"})
		lagging := startFollower(t, s, func(_ context.Context, _ string, in inner.FollowRequest) (inner.FollowResponse, error) {
			return c.ChangesSince(in), nil
		}, byValue)
		time.Sleep(time.Second)
		lagging.assertRows(t, map[string]string{"a": "1"})
		lagging.HintPeer("c", func() bool { return true })
		time.Sleep(time.Second)
		lagging.assertRows(t, map[string]string{"a": "2"})
		s.put("a", "3")
		time.Sleep(time.Second)
		for _, f := range []*follower{c, lagging} {
			f.assertRows(t, map[string]string{"a": "3"})
		}
	})
}
