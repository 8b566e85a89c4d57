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

// inSimulation runs f in virtual time and asserts that the oracle found no violation.
func inSimulation(t *testing.T, routers int, f func(t *testing.T, sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(routers, nil)
		time.Sleep(100 * time.Millisecond)
		f(t, sim)
		sim.close()
		assert.NilError(t, errors.Join(sim.violations...))
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

func setTableDown(sim *simulation, routers ...int) {
	for _, i := range routers {
		sim.setLink(sim.nodes[i], func(l *link) { l.down = true })
	}
}

func restart(sim *simulation, i int) {
	sim.nodes[i].stop()
	sim.start(i)
}

func TestRacingOperators(t *testing.T) {
	inSimulation(t, 2, func(t *testing.T, sim *simulation) {
		base := sim.nodes[1].cat.Current().Version()
		assertAccepts(t, sim.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
		_, err := sim.nodes[1].cat.Accept(t.Context(), base, Change{CommandID: "second", Items: []Item{workspaceItem(t, "gorenjska", 3)}})
		var raced *VersionConflictError
		assert.Assert(t, errors.As(err, &raced))
		assert.Equal(t, raced.Current, uint64(1))
		assert.Equal(t, raced.Changes[0].CommandID, "first")
	})
}

func TestNewRouterInTableOutage(t *testing.T) {
	t.Run("takes the highest version among its peers", func(t *testing.T) {
		inSimulation(t, 4, func(t *testing.T, sim *simulation) {
			time.Sleep(2 * time.Second)
			setTableDown(sim, 1, 2)
			sim.setPartitioned(0, 1, true)
			sim.setPartitioned(1, 2, true)
			sim.setPartitioned(1, 3, true)
			assertAccepts(t, sim.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			time.Sleep(propagationGoal)
			setTableDown(sim, 0, 3)
			sim.setPartitioned(1, 3, false)
			restart(sim, 3)
			time.Sleep(propagationGoal)
			assert.Assert(t, sim.nodes[3].cat.Ready())
			assert.Equal(t, sim.nodes[1].cat.Current().Version(), uint64(1))
			assert.Equal(t, sim.nodes[3].cat.Current().Version(), uint64(1))
		})
	})
	t.Run("stays not ready without a peer that is", func(t *testing.T) {
		inSimulation(t, 2, func(t *testing.T, sim *simulation) {
			assertAccepts(t, sim.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			setTableDown(sim, 0, 1)
			restart(sim, 0)
			restart(sim, 1)
			time.Sleep(time.Minute)
			assert.Assert(t, !sim.nodes[0].cat.Ready() && !sim.nodes[1].cat.Ready())
		})
	})
	t.Run("does not go back behind a peer that has yet to read the table", func(t *testing.T) {
		inSimulation(t, 2, func(t *testing.T, sim *simulation) {
			time.Sleep(2 * time.Second)
			sim.setPartitioned(0, 1, true)
			assertAccepts(t, sim.nodes[0].cat, "first", workspaceItem(t, "gorenjska", 2))
			setTableDown(sim, 0)
			sim.setPartitioned(0, 1, false)
			restart(sim, 0)
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, sim.nodes[0].cat.Ready())
			assert.Equal(t, sim.nodes[0].cat.Current().Version(), uint64(1))
		})
	})
}

func TestUndecodableItemKeepsOldValue(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, sim *simulation) {
		c := sim.nodes[0].cat
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
		assertKeys(t, s.withChanges([]Change{{Version: 2, Items: []Item{Deletion(KindWorkspace, "gorenjska")}}}), false, false)
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

// Checks, for a large fleet in virtual time, the time until a change is in force on every
// router and the rate of table reads.
func TestLargeFleet(t *testing.T) {
	const (
		goal     = 13 * time.Second
		maxReads = 500 // per second
		period   = 25 * time.Second
		changes  = 8 // 8 in 25 s is 27,000 a day
	)
	inSimulation(t, *fleetRouters, func(t *testing.T, sim *simulation) {
		time.Sleep(maxPollInterval)
		before := sim.readCount()
		startedAt := time.Now()
		slowest := time.Duration(0)
		for i := range changes {
			next := startedAt.Add(time.Duration(i+1) * period / changes)
			version := assertAccepts(t, sim.nodes[i].cat, time.Now().String(), workspaceItem(t, "gorenjska", int64(i)))
			slowest = max(slowest, propagationTime(sim, version))
			time.Sleep(time.Until(next))
		}
		rate := float64(sim.readCount()-before) / time.Since(startedAt).Seconds()
		t.Logf("%d routers: in force after at most %v, %.0f table reads a second", *fleetRouters, slowest, rate)
		assert.Assert(t, slowest <= goal)
		assert.Assert(t, rate < maxReads)
	})
}

// propagationTime waits until every router has the version and returns the time that took.
func propagationTime(sim *simulation, version uint64) time.Duration {
	startedAt := time.Now()
	for _, n := range sim.nodes {
		for n.cat.Current().Version() < version {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(startedAt)
}

func TestCompactedLogKeepsCommandIDs(t *testing.T) {
	inSimulation(t, 1, func(t *testing.T, sim *simulation) {
		c := sim.nodes[0].cat
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
		remaining, err := c.Changes(t.Context(), 0, 100)
		assert.NilError(t, err)
		assert.Equal(t, archived+len(remaining), 20)
		assert.Assert(t, archived >= 16-3)
		assert.Equal(t, assertAccepts(t, c, "ca", workspaceItem(t, "gorenjska", 99)), uint64(1))
	})
}
