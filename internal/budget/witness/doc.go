// Package witness records, in memory, the requests that other routers start from
// their holdings and the usage of those requests. A holder records a request at its
// witness, through the inner protocol, before it sends the request to a target. To
// reclaim the holding of a router that may be dead, another router seals the book
// of the holding: a sealed book refuses further updates, so the holding can be closed
// safely even if its holder is only paused. Books are kept in shards, each under its
// own lock.
package witness
