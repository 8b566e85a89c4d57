package prepaid

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
)

// TestEraHasBegunForAllHoldings guards against overspending: an answer of the store tells of a new era that another one is about
// to begin, and its rows, which are of an older copy, are taken for newer ones of the former era.
func TestEraHasBegunForAllHoldings(t *testing.T) {
	m := &Manager{VM: "a", Incarnation: NewIncarnationID("a", "1")}
	for n := range 20_000 {
		m.holding(strconv.Itoa(n))
	}
	m.observeStamp(table.Stamp{Version: 9, Clock: time.Second})
	var behind atomic.Int64
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			m.observeStamp(table.Stamp{Era: 1, Version: 5, Clock: 2 * time.Second})
			for _, h := range m.allHoldings() {
				if h.currentEra() != 1 {
					behind.Add(1)
				}
			}
		})
	}
	all.Wait()
	assert.Equal(t, behind.Load(), int64(0))
}
