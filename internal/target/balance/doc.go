// Package balance decides which target a request goes to: which subset of the
// targets a router uses, and which of these is best for one request. It holds no
// state and knows nothing of connections; the pool asks it.
package balance
