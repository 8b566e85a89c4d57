package catalogue

import (
	"context"
	"encoding/json"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// inWorld runs f in virtual time and asserts that the oracle found nothing.
func inWorld(t *testing.T, routers int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(routers, nil)
		time.Sleep(100 * time.Millisecond)
		f(t, w)
		w.close()
		assert.NilError(t, errors.Join(w.problems...))
	})
}

func workspaceItem(t *testing.T, name string, weight int64) Item {
	t.Helper()
	item, err := NewItem(KindWorkspace, name, Workspace{Name: name, Weight: weight})
	assert.NilError(t, err)
	return item
}

func assertAccepts(t *testing.T, c *Catalogue, id string, items ...Item) uint64 {
	t.Helper()
	version, err := c.Accept(t.Context(), c.Current().Version(), Change{CommandID: id, Operator: "ana", Items: items})
	assert.NilError(t, err)
	return version
}

func setDown(w *world, routers ...int) {
	for _, i := range routers {
		w.setLink(w.nodes[i], func(l *link) { l.down = true })
	}
}

func restart(w *world, i int) {
	w.nodes[i].stop()
	w.start(i)
}

func TestRacingOperators(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		base := w.nodes[1].cat.Current().Version()
		assertAccepts(t, w.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
		_, err := w.nodes[1].cat.Accept(t.Context(), base, Change{CommandID: "second", Items: []Item{workspaceItem(t, "gorenjska", 3)}})
		var raced *RacedError
		assert.Assert(t, errors.As(err, &raced))
		assert.Equal(t, raced.Current, uint64(1))
		assert.Equal(t, raced.Changes[0].CommandID, "first")
	})
}

func TestNewRouterInTableOutage(t *testing.T) {
	t.Run("takes the highest version among its peers", func(t *testing.T) {
		inWorld(t, 4, func(t *testing.T, w *world) {
			time.Sleep(2 * time.Second)
			setDown(w, 1, 2)
			w.setCut(0, 1, true)
			w.setCut(1, 2, true)
			w.setCut(1, 3, true)
			assertAccepts(t, w.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			time.Sleep(inForce)
			setDown(w, 0, 3)
			w.setCut(1, 3, false)
			restart(w, 3)
			time.Sleep(inForce)
			assert.Assert(t, w.nodes[3].cat.Ready())
			assert.Equal(t, w.nodes[1].cat.Current().Version(), uint64(1))
			assert.Equal(t, w.nodes[3].cat.Current().Version(), uint64(1))
		})
	})
	t.Run("stays not ready without a peer that is", func(t *testing.T) {
		inWorld(t, 2, func(t *testing.T, w *world) {
			assertAccepts(t, w.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			setDown(w, 0, 1)
			restart(w, 0)
			restart(w, 1)
			time.Sleep(time.Minute)
			assert.Assert(t, !w.nodes[0].cat.Ready() && !w.nodes[1].cat.Ready())
		})
	})
	t.Run("does not go back behind a peer that has yet to read the table", func(t *testing.T) {
		inWorld(t, 2, func(t *testing.T, w *world) {
			time.Sleep(2 * time.Second)
			w.setCut(0, 1, true)
			assertAccepts(t, w.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			setDown(w, 0)
			w.setCut(0, 1, false)
			restart(w, 0)
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, w.nodes[0].cat.Ready())
			assert.Equal(t, w.nodes[0].cat.Current().Version(), uint64(1))
		})
	})
}

func TestUndecodableItemKeepsOldValue(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		c := w.nodes[0].cat
		assertAccepts(t, c, "first", workspaceItem(t, "gorenjska", 2))
		bad := Item{Kind: "workspace", Name: "gorenjska", Value: json.RawMessage(`{"weight":"two"}`)}
		assertAccepts(t, c, "second", bad)
		assert.Equal(t, c.Current().Version(), uint64(2))
		got, ok := c.Current().Workspace("gorenjska")
		assert.Assert(t, ok && got.Weight == 2)
	})
}

func TestRotatedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		item, err := NewItem(KindWorkspace, "gorenjska", Workspace{
			Name:        "gorenjska",
			KeyHashes:   []string{HashKey("new"), HashKey("old")},
			OldKeyUntil: time.Now().Add(time.Hour),
		})
		assert.NilError(t, err)
		s := newSnapshot(1, []Item{item})
		assertKeys(t, s, true, true)
		time.Sleep(2 * time.Hour)
		assertKeys(t, s, true, false)
		assertKeys(t, s.with([]Change{{Version: 2, Items: []Item{Deletion(KindWorkspace, "gorenjska")}}}), false, false)
	})
}

func assertKeys(t *testing.T, s *Snapshot, newValid, oldValid bool) {
	t.Helper()
	_, ok := s.WorkspaceByKey("new")
	assert.Equal(t, ok, newValid)
	_, ok = s.WorkspaceByKey("old")
	assert.Equal(t, ok, oldValid)
}

var fleetRouters = flag.Int("fleet.routers", 200, "routers of the large fleet; the largest has 1100")

// A large fleet in virtual time: how long until a change is in force, and how much the table is read.
func TestLargeFleet(t *testing.T) {
	const (
		goal     = 13 * time.Second
		maxReads = 500 // a second
		period   = 25 * time.Second
		changes  = 8 // 27,000 a day
	)
	inWorld(t, *fleetRouters, func(t *testing.T, w *world) {
		time.Sleep(maxPollInterval)
		before := w.readCount()
		began := time.Now()
		slowest := time.Duration(0)
		for i := range changes {
			next := began.Add(time.Duration(i+1) * period / changes)
			version := assertAccepts(t, w.nodes[i].cat, time.Now().String(), workspaceItem(t, "gorenjska", int64(i)))
			slowest = max(slowest, untilInForce(w, version))
			time.Sleep(time.Until(next))
		}
		rate := float64(w.readCount()-before) / time.Since(began).Seconds()
		t.Logf("%d routers: in force after at most %v, %.0f table reads a second", *fleetRouters, slowest, rate)
		assert.Assert(t, slowest <= goal)
		assert.Assert(t, rate < maxReads)
	})
}

func untilInForce(w *world, version uint64) time.Duration {
	began := time.Now()
	for _, n := range w.nodes {
		for n.cat.Current().Version() < version {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func TestCompactedLogKeepsCommandIDs(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		c := w.nodes[0].cat
		archived := 0
		c.Archive = func(_ context.Context, _ string, segment []byte) error {
			var changes []Change
			assert.NilError(t, json.Unmarshal(segment, &changes))
			archived += len(changes)
			return nil
		}
		for i := range 20 {
			assertAccepts(t, c, "c"+string(rune('a'+i)), workspaceItem(t, "gorenjska", int64(i)))
		}
		left, err := c.Changes(t.Context(), 0, 100)
		assert.NilError(t, err)
		assert.Equal(t, archived+len(left), 20)
		assert.Assert(t, archived >= 16-3)
		assert.Equal(t, assertAccepts(t, c, "ca", workspaceItem(t, "gorenjska", 99)), uint64(1))
	})
}
