package roster

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// born is the start of the lifetimes that announcement returns.
var born = time.Unix(1000, 0)

// announcement returns the announcement of an instance of service s.
func announcement(id string) AnnouncementChange {
	return AnnouncementChange{ID: id, Instance: Instance{ID: id, Service: "s", Addr: "10.0.0.1:80", StartedAt: born}}
}

// newKeeper returns a keeper with the given instances and the pointer to its latest roster.
// The last outage of its store ended at *regained; zero means that there was none.
func newKeeper(regained *time.Time, ids ...string) (*Tracker, *atomic.Pointer[Roster]) {
	latest := &atomic.Pointer[Roster]{}
	k := &Tracker{
		LastOutageEnd: func() (time.Time, bool) { return *regained, !regained.IsZero() },
		OnRoster:      latest.Store,
	}
	for _, id := range ids {
		k.Update([]AnnouncementChange{announcement(id)})
	}
	return k, latest
}

func TestVanishedInstanceIsDroppedAtOnce(t *testing.T) {
	var never time.Time
	k, latest := newKeeper(&never, "a", "b")
	k.Update([]AnnouncementChange{{ID: "a", Deleted: true}})
	assert.Equal(t, latest.Load().Len(), 1)
}

func TestVanishedInstanceIsKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, latest := newKeeper(&regained, "a")
		time.Sleep(outageGrace / 2)
		k.Update([]AnnouncementChange{{ID: "a", Deleted: true}})
		assert.Equal(t, latest.Load().Len(), 1)
		time.Sleep(outageGrace/2 + time.Millisecond)
		assert.Equal(t, latest.Load().Len(), 0)
	})
}

func TestLapsedInstanceComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, latest := newKeeper(&regained, "a")
		k.Update([]AnnouncementChange{{ID: "a", Deleted: true}})
		time.Sleep(outageGrace / 2)
		k.Update([]AnnouncementChange{announcement("a")})
		time.Sleep(outageGrace)
		assert.Equal(t, latest.Load().Len(), 1)
	})
}

func TestGraceIsOverAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, latest := newKeeper(&regained, "a")
		time.Sleep(outageGrace)
		k.Update([]AnnouncementChange{{ID: "a", Deleted: true}})
		assert.Equal(t, latest.Load().Len(), 0)
	})
}

func TestLateAnnouncementOfAnEndedLifeIsIgnored(t *testing.T) {
	var never time.Time
	k, latest := newKeeper(&never, "a")
	old := announcement("a")
	old.Instance.StartedAt = born.Add(-time.Second)
	old.Instance.Addr = "10.0.0.2:80"
	k.Update([]AnnouncementChange{old})
	assert.Equal(t, latest.Load().Service("s")[0].Addr, "10.0.0.1:80")
}

// fromCopy returns the change as it comes from a store restored from an older copy.
func fromCopy(c AnnouncementChange) AnnouncementChange {
	c.AfterRollback = true
	return c
}

// TestCopyDoesNotBringBackWhatHasLeft checks that a store restored from an older copy does not
// bring back lifetimes that were since seen to drain or to disappear, but does add a later one.
func TestCopyDoesNotBringBackWhatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var never time.Time
		k, latest := newKeeper(&never, "a", "b", "c")
		draining := announcement("a")
		draining.Instance.Draining = true
		k.Update([]AnnouncementChange{draining, {ID: "b", Deleted: true}})
		k.Update([]AnnouncementChange{fromCopy(announcement("a")), fromCopy(announcement("b")), fromCopy(announcement("c"))})
		assert.Equal(t, latest.Load().Len(), 1)
		restarted := announcement("b")
		restarted.Instance.StartedAt = born.Add(time.Second)
		k.Update([]AnnouncementChange{fromCopy(restarted)})
		assert.Equal(t, latest.Load().Len(), 2)
	})
}

// TestAnnouncementAfterTheCopyCounts checks that a dropped lifetime returns when it announces
// itself again, although the same announcement from an older copy was ignored.
func TestAnnouncementAfterTheCopyCounts(t *testing.T) {
	var never time.Time
	k, latest := newKeeper(&never, "a")
	k.Update([]AnnouncementChange{{ID: "a", Deleted: true}})
	k.Update([]AnnouncementChange{fromCopy(announcement("a"))})
	assert.Equal(t, latest.Load().Len(), 0)
	k.Update([]AnnouncementChange{announcement("a")})
	assert.Equal(t, latest.Load().Len(), 1)
}
