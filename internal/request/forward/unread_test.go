package forward

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/target/placement"
	"rosevalve/internal/workspace/plan"
)

// pausingWriter is a caller that takes each part of its answer after a pause.
type pausingWriter struct {
	io.Writer
	pause time.Duration
}

func (w pausingWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.Writer.Write(p)
}

// TestTargetIsNotBlamedForAnUnreadStream lets a target end its stream while the caller reads slowly, and while it reads at
// once.
func TestTargetIsNotBlamedForAnUnreadStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		want  placement.Outcome
	}{
		{"read at once", 0, placement.Failed},
		{"read slowly", 3 * time.Second, placement.Inconclusive},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := resumableRoute(1)
			route.Kind, route.Resumable = plan.Streaming, false
			s := &stage{scenario: scenario{Route: route, Conducts: []conduct{{BreaksAt: 4}}}, order: make(map[string]int)}
			var outcomes []placement.Outcome
			synctest.Test(t, func(t *testing.T) {
				f := s.forwarder()
				f.OnDecision = func(d Decision) {
					if d.Kind == AttemptFailed {
						outcomes = append(outcomes, d.Outcome)
					}
				}
				a, err := f.Serve(t.Context(), &Request{ID: "a", Method: "GET", URI: "/x", Host: "h", Arrived: time.Now()})
				assert.NilError(t, err)
				var text strings.Builder
				_, err = a.Stream.WriteTo(pausingWriter{Writer: &text, pause: c.pause})
				assert.Assert(t, err != nil)
				a.Close()
				synctest.Wait()
				f.Placement.Prune(time.Now().Add(time.Hour))
				time.Sleep(2 * dialForever)
			})
			assert.DeepEqual(t, outcomes, []placement.Outcome{c.want})
		})
	}
}
