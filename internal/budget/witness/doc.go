// Package witness keeps, in memory, what other routers have announced about
// their holdings: which requests they start and what those used. A sealed book
// acknowledges nothing more, so that its holding can be closed although its
// holder may only be paused. Holders append through the inner protocol; routers
// that reclaim holdings seal. Books are kept in shards, each under its own lock.
package witness
