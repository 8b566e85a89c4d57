package roster

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var born = time.Unix(1000, 0)

func announced(id string) Change {
	return Change{ID: id, Instance: Instance{ID: id, Service: "s", Addr: "10.0.0.1:80", Born: born}}
}

// kept returns a keeper with instances, whose store was last regained at a time.
func kept(regained *time.Time, ids ...string) (*Keeper, *atomic.Pointer[Roster]) {
	newest := &atomic.Pointer[Roster]{}
	k := &Keeper{
		Regained: func() (time.Time, bool) { return *regained, !regained.IsZero() },
		OnRoster: newest.Store,
	}
	for _, id := range ids {
		k.Update([]Change{announced(id)})
	}
	return k, newest
}

func TestVanishedInstanceIsDroppedAtOnce(t *testing.T) {
	var never time.Time
	k, newest := kept(&never, "a", "b")
	k.Update([]Change{{ID: "a", Gone: true}})
	assert.Equal(t, newest.Load().Len(), 1)
}

func TestVanishedInstanceIsKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, newest := kept(&regained, "a")
		time.Sleep(lapseGrace / 2)
		k.Update([]Change{{ID: "a", Gone: true}})
		assert.Equal(t, newest.Load().Len(), 1)
		time.Sleep(lapseGrace/2 + time.Millisecond)
		assert.Equal(t, newest.Load().Len(), 0)
	})
}

func TestLapsedInstanceComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, newest := kept(&regained, "a")
		k.Update([]Change{{ID: "a", Gone: true}})
		time.Sleep(lapseGrace / 2)
		k.Update([]Change{announced("a")})
		time.Sleep(lapseGrace)
		assert.Equal(t, newest.Load().Len(), 1)
	})
}

func TestGraceIsOverAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regained := time.Now()
		k, newest := kept(&regained, "a")
		time.Sleep(lapseGrace)
		k.Update([]Change{{ID: "a", Gone: true}})
		assert.Equal(t, newest.Load().Len(), 0)
	})
}

func TestLateAnnouncementOfAnEndedLifeIsIgnored(t *testing.T) {
	var never time.Time
	k, newest := kept(&never, "a")
	old := announced("a")
	old.Instance.Born = born.Add(-time.Second)
	old.Instance.Addr = "10.0.0.2:80"
	k.Update([]Change{old})
	assert.Equal(t, newest.Load().Service("s")[0].Addr, "10.0.0.1:80")
}

func fromCopy(c Change) Change {
	c.FromCopy = true
	return c
}

// TestCopyDoesNotBringBackWhatHasLeft lets the store show announcements of lifetimes that
// were seen to drain or to go since.
func TestCopyDoesNotBringBackWhatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var never time.Time
		k, newest := kept(&never, "a", "b", "c")
		draining := announced("a")
		draining.Instance.Draining = true
		k.Update([]Change{draining, {ID: "b", Gone: true}})
		k.Update([]Change{fromCopy(announced("a")), fromCopy(announced("b")), fromCopy(announced("c"))})
		assert.Equal(t, newest.Load().Len(), 1)
		again := announced("b")
		again.Instance.Born = born.Add(time.Second)
		k.Update([]Change{fromCopy(again)})
		assert.Equal(t, newest.Load().Len(), 2)
	})
}

// TestAnnouncementAfterTheCopyCounts lets a lifetime that lapsed announce itself again.
func TestAnnouncementAfterTheCopyCounts(t *testing.T) {
	var never time.Time
	k, newest := kept(&never, "a")
	k.Update([]Change{{ID: "a", Gone: true}})
	k.Update([]Change{fromCopy(announced("a"))})
	assert.Equal(t, newest.Load().Len(), 0)
	k.Update([]Change{announced("a")})
	assert.Equal(t, newest.Load().Len(), 1)
}
