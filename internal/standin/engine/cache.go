package engine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

const maxCacheEvents = 1000

// cacheEvent tells that a prefix was stored or dropped.
type cacheEvent struct {
	Number int64  `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`

	at time.Time
}

// prefixCache holds the prompt prefixes used last.
type prefixCache struct {
	mu     sync.Mutex // guards the fields below
	held   []uint64   // least recently used first
	events []cacheEvent
	number int64
	hits   int64
	misses int64
}

// use reports whether the prefix is held, and keeps it.
func (c *prefixCache) use(prefix uint64, b Batch) bool {
	if prefix == 0 || b.CachedPrefixes == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.held, prefix); i >= 0 {
		c.hits++
		c.held = append(slices.Delete(c.held, i, i+1), prefix)
		return true
	}
	c.misses++
	c.held = append(c.held, prefix)
	c.record(prefix, true, b)
	if len(c.held) > b.CachedPrefixes {
		c.record(c.held[0], false, b)
		c.held = c.held[1:]
	}
	return false
}

// record adds an event, unless it is one that is lost. The caller holds mu.
func (c *prefixCache) record(prefix uint64, stored bool, b Batch) {
	c.number++
	if b.LoseEvery > 0 && c.number%b.LoseEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.number, Prefix: prefix, Stored: stored, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events after the number that are old enough to be shown.
func (c *prefixCache) after(number int64, lag time.Duration) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range c.events {
		if ev.Number > number && time.Since(ev.at) >= lag {
			out = append(out, ev)
		}
	}
	return out
}

// counts returns how often a prefix was and was not held.
func (c *prefixCache) counts() (hits, misses int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}

func (s *Server) showCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("parameter \"after\" is not a number", fasthttp.StatusBadRequest)
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.cache.after(after, s.Batch.EventLag))
}
