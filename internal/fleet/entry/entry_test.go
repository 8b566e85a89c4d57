package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func routers(n int) []Entry {
	var out []Entry
	for i := range n {
		out = append(out, Entry{URL: fmt.Sprintf("http://10.0.0.%d:7001", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	return out
}

func directory(entries []Entry) *Directory {
	return &Directory{Routers: func() []Entry { return entries }}
}

func TestOrderIsTheSameFromEveryRouter(t *testing.T) {
	entries := routers(7)
	reversed := make([]Entry, 0, len(entries))
	for i := range entries {
		reversed = append(reversed, entries[len(entries)-1-i])
	}
	assert.DeepEqual(t, directory(entries).Order("a", ""), directory(reversed).Order("a", ""))
}

func TestCallersAreSpread(t *testing.T) {
	const callers, n = 8000, 8
	firsts := make(map[string]int)
	d := directory(routers(n))
	for i := range callers {
		firsts[d.Order(fmt.Sprintf("10.1.%d.%d", i/250, i%250), "").Entries[0].URL]++
	}
	for url, count := range firsts {
		assert.Assert(t, count > callers/n/2 && count < callers/n*2, "%s is the first of %d callers", url, count)
	}
}

func TestRouterThatGoesMovesOnlyItsCallers(t *testing.T) {
	entries := routers(8)
	before, after := directory(entries), directory(entries[:7])
	for i := range 500 {
		caller := fmt.Sprint(i)
		first := before.Order(caller, "").Entries[0]
		if first.URL != entries[7].URL {
			assert.Equal(t, after.Order(caller, "").Entries[0], first)
		}
	}
}

func TestBusyAndDistantRoutersComeLater(t *testing.T) {
	entries := routers(6)
	entries[0].Busy = true
	got := directory(entries).Order("a", "region-0").Entries
	assert.Assert(t, got[5].Busy)
	for i, e := range got[:5] {
		assert.Equal(t, e.Region == "region-0", i < 2, "entry %d is in %s", i, e.Region)
	}
}
