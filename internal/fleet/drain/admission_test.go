package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAdmissionCutsOffNoRequest checks that a request which keeps its deadline is never cut off in the
// later part of a drain, nor once callers' addresses are stale, and that one which lasts as expected is
// never cut off at all.
func TestAdmissionCutsOffNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		limit := start.Add(drawMillis(t, 10_000, "limit"))
		now := start.Add(drawMillis(t, 10_000, "arrival"))
		timeout, expected := drawMillis(t, 20_000, "timeout"), drawMillis(t, 20_000, "expected")
		unknown := rapid.Bool().Draw(t, "unknown")
		if unknown {
			expected = Unknown
		}
		stale := rapid.Bool().Draw(t, "stale")
		var a Admission
		if !a.Accepts(now, now.Add(timeout), expected) {
			t.Fatalf("a request was refused before the drain")
		}
		a.Begin(start, limit)
		if stale {
			a.RequireDeadline()
		}
		stale = stale || now.Sub(start) > time.Duration(estimateShare*float64(limit.Sub(start)))
		early := !stale && now.Sub(start) <= time.Duration(unknownShare*float64(limit.Sub(start)))
		lasts := timeout
		switch {
		case unknown && early:
			lasts = min(timeout, limit.Sub(now))
		case !unknown && !stale:
			lasts = min(timeout, expected)
		}
		inTime := !now.Add(lasts).After(limit)
		if a.Accepts(now, time.Time{}, expected) && (stale || unknown && !early || !unknown && now.Add(expected).After(limit)) {
			t.Fatalf("a request without a deadline was accepted, %v before the limit", limit.Sub(now))
		}
		if got := a.Accepts(now, now.Add(timeout), expected); got != inTime {
			t.Fatalf("accepts = %v for a request that may last %v, %v before the limit", got, lasts, limit.Sub(now))
		}
	})
}

// TestDurationsOfRecentRequests compares the expected duration with an oracle that keeps all requests:
// it lies between the shortest and the longest that recent requests of the kind would give.
func TestDurationsOfRecentRequests(t *testing.T) {
	type seen struct {
		at          time.Time
		kind        string
		first, unit time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		var d Durations
		var all []seen
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(drawMillis(t, 20_000, "pause"))
			kind := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")
			units := rapid.Int64Range(1, 100).Draw(t, "units")
			if rapid.Bool().Draw(t, "observe") {
				first, unit := drawMillis(t, 1000, "first"), drawMillis(t, 50, "unit")
				d.Observe(now, kind, units, first, first+time.Duration(units)*unit)
				all = append(all, seen{now, kind, first, unit})
				continue
			}
			var low, high seen
			recent, known := 0, 0
			for _, s := range all {
				if s.kind != kind || now.Sub(s.at) >= 2*durationWindow {
					continue
				}
				if known == 0 {
					low, high = s, s
				}
				known++
				if now.Sub(s.at) < durationWindow {
					recent++
				}
				low.first, low.unit = min(low.first, s.first), min(low.unit, s.unit)
				high.first, high.unit = max(high.first, s.first), max(high.unit, s.unit)
			}
			got := d.Expect(now, kind, units)
			least := time.Duration(durationMargin * float64(low.first+time.Duration(units)*low.unit))
			most := time.Duration(durationMargin * float64(high.first+time.Duration(units)*high.unit))
			between := got >= least-time.Microsecond && got <= most+time.Microsecond
			if recent > 0 && !between || known > 0 && !between && got != Unknown {
				t.Fatalf("expected duration is %v, not between %v and %v, with %d recent requests", got, least, most, recent)
			}
			if known == 0 && got != Unknown {
				t.Fatalf("expected duration is %v, but no request is known", got)
			}
		}
	})
}

func TestDurationsByKindAndSize(t *testing.T) {
	var d Durations
	now := time.Unix(1000, 0)
	assert.Equal(t, d.Expect(now, "a", 10), Unknown)
	d.Observe(now, "a", 10, time.Second, 2*time.Second)
	assert.Equal(t, d.Expect(now, "a", 20), time.Duration(durationMargin*float64(3*time.Second)))
	d.Observe(now, "a", 30, 3*time.Second, 6*time.Second)
	assert.Equal(t, d.Expect(now, "a", 20), time.Duration(durationMargin*float64(4*time.Second)))
	assert.Equal(t, d.Expect(now, "b", 20), Unknown)
	assert.Equal(t, d.Expect(now.Add(2*durationWindow), "a", 20), Unknown)
}
