package engine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

const maxCacheEvents = 1000 // most recent events kept

// cacheEvent records that a prefix was stored in the cache or evicted.
type cacheEvent struct {
	Number int64  `json:"number"` // sequence number from 1; gaps are lost events
	Prefix uint64 `json:"prefix"` // hash of the prefix
	Stored bool   `json:"stored"` // false for an eviction

	recordedAt time.Time
}

// prefixCache is an LRU cache of prompt prefixes that logs its changes.
type prefixCache struct {
	mu        sync.Mutex   // guards the fields below
	prefixes  []uint64     // hashes, least recently used first
	events    []cacheEvent // the most recent ones, oldest first
	lastEvent int64        // number of the most recent event, lost or not
	hits      int64
	misses    int64
}

// touch reports whether the prefix was cached, and makes it the most recently used
// entry. Prefix zero, a prompt too short to cache, is never cached.
func (c *prefixCache) touch(prefix uint64, b Batch) bool {
	if prefix == 0 || b.CachedPrefixes == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.hits++
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.misses++
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(prefix, true, b)
	if len(c.prefixes) > b.CachedPrefixes {
		c.recordEvent(c.prefixes[0], false, b)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

// recordEvent appends an event unless LoseEvery drops it. The caller holds mu.
func (c *prefixCache) recordEvent(prefix uint64, stored bool, b Batch) {
	c.lastEvent++
	if b.LoseEvery > 0 && c.lastEvent%b.LoseEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.lastEvent, Prefix: prefix, Stored: stored, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a higher number than the given one that are
// at least as old as the lag.
func (c *prefixCache) eventsAfter(number int64, lag time.Duration) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cacheEvent{}
	for _, event := range c.events {
		if event.Number > number && time.Since(event.recordedAt) >= lag {
			out = append(out, event)
		}
	}
	return out
}

// counts returns the numbers of cache hits and misses.
func (c *prefixCache) counts() (hits, misses int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}

// serveCacheEvents answers with the cache events after the number in the query.
func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("parameter \"after\" is not a number", fasthttp.StatusBadRequest)
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.cache.eventsAfter(after, s.Batch.EventLag))
}
