// Package peer owns the connections between routers: it serves the inner
// protocol's methods and calls them on other routers by address. Membership and
// the budgets' witnesses call it; it keeps one connection to each peer and drops
// it when a call fails.
package peer
