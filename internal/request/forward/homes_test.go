package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/workspace/plan"
)

// playHomes sends a request on a route with homes to two targets, of which the n-th is in failure domain addr<n>, and
// returns the result and the addresses that were dialled. regions are the regions of the failure domains.
func playHomes(t *testing.T, homes []string, regions map[string]string) (result, []string) {
	t.Helper()
	route := anyTarget(plan.Idempotent)
	route.HomeRegions = homes
	s := &stage{scenario: scenario{Route: route, Conducts: []conduct{{}, {}}}, order: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		f := s.forwarder()
		f.RegionOf = func(domain string) string { return regions[domain] }
		var instances []roster.Instance
		for n := range 2 {
			addr := fmt.Sprint("addr", n)
			instances = append(instances, roster.Instance{ID: fmt.Sprint("i", n), Service: "s", Addr: addr, FailureDomain: addr, Capacity: 8})
		}
		f.Placement.Update(roster.New(instances))
		s.send(t.Context(), f)
		synctest.Wait()
		f.Placement.Prune(time.Now().Add(time.Hour))
		time.Sleep(2 * dialForever)
	})
	var dialled []string
	for addr := range s.order {
		dialled = append(dialled, addr)
	}
	return s.result, dialled
}

func TestHomesOfARoute(t *testing.T) {
	regions := map[string]string{"addr0": "east", "addr1": "west"}
	for home, addr := range map[string]string{"east": "addr0", "west": "addr1"} {
		got, dialled := playHomes(t, []string{home}, regions)
		assert.NilError(t, got.err)
		assert.DeepEqual(t, dialled, []string{addr})
	}
}

// TestLostHomes guards against requests that leave their homes, or wait, since these have no targets or are not known.
func TestLostHomes(t *testing.T) {
	for name, regions := range map[string]map[string]string{"lost": {"addr0": "east", "addr1": "west"}, "unknown": nil} {
		t.Run(name, func(t *testing.T) {
			got, dialled := playHomes(t, []string{"north", ""}, regions)
			var refusal *answer.Error
			assert.Assert(t, errors.As(got.err, &refusal))
			assert.Equal(t, refusal.Code, "no_home_region")
			assert.Equal(t, refusal.Status, fasthttp.StatusServiceUnavailable)
			assert.Equal(t, refusal.Run, answer.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
			assert.Equal(t, len(dialled), 0)
		})
	}
}
