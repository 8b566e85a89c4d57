// Package peer owns the connections between routers: it serves the inner
// protocol's methods and calls them on other routers by address. Membership, the
// relay and the budgets' witnesses call it. It keeps one connection to each peer in
// use, replaces one that has gone silent, and waits longer after each failed dial.
package peer
