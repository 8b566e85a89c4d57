package membership

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/inner"
)

// TestHeartbeatTellsOfEvacuations shows that every router learns from its peers which of their rows about evacuations is
// the newest.
func TestHeartbeatTellsOfEvacuations(t *testing.T) {
	want := inner.TablePosition{Era: 2, Version: 40}
	for name, known := range map[string]inner.TablePosition{"some": want, "none": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var heard []inner.TablePosition
				net := newNetwork(3)
				net.adjust = func(v *View) {
					v.Evacuation = func() inner.TablePosition { return known }
					v.OnEvacuation = func(_ string, p inner.TablePosition) {
						mu.Lock()
						defer mu.Unlock()
						heard = append(heard, p)
					}
				}
				net.start(addrOf(0), "a", 1, addrOf(0))
				net.start(addrOf(1), "b", 1, addrOf(0))
				time.Sleep(settleTime)
				net.killAll()
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, len(heard) > 0, known.Version > 0)
				for _, p := range heard {
					assert.Equal(t, p, want)
				}
			})
		})
	}
}

// TestHeartbeatsOfOlderRouters shows that routers of builds without evacuations and with them understand each other.
func TestHeartbeatsOfOlderRouters(t *testing.T) {
	text, err := json.Marshal(inner.Heartbeat{Config: 7})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "evacuation"), "%s", text)
	var in inner.HeartbeatAck
	assert.NilError(t, json.Unmarshal([]byte(`{"sender":{},"config":7}`), &in))
	assert.Assert(t, in.Evacuation == nil)
}
