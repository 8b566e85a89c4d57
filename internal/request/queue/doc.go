// Package queue holds requests until a target has a place for them. Each model
// and each plain service has a queue of its own. Within a queue the places are
// shared among workspaces by weight and tokens, urgent requests go before long
// ones, and a request whose expected wait is too long is refused at once. The
// dispatcher acquires a place for each attempt.
package queue
