package plan

import "time"

//go:generate ../../../bin/stringer -type=Kind -linecomment

// Kind tells how a route's requests may be repeated and how they are answered.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota // idempotent
	// NonIdempotent requests run at most once.
	NonIdempotent // non_idempotent
	// Streaming requests are answered by a series of events.
	Streaming // streaming
)

// Config is an accepted configuration as it was read.
type Config struct {
	// Version orders the configurations; a higher one replaces a lower one.
	Version uint64
	// Routes are in no order.
	Routes []Route
	// Services are what routes lead to.
	Services []Service
	// Workspaces hold the keys; without any, requests need no key.
	Workspaces []Workspace
	// Limits bound what callers may send.
	Limits Limits
}

// Route leads requests for a host and a path to services.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name that callers ask for.
	Host string
	// Prefix begins and ends with a slash; the longest one that begins the path wins.
	Prefix string
	// Kind tells what may be repeated.
	Kind Kind
	// Resumable lets a stream go on at another target after its last event.
	Resumable bool
	// Timeout is the longest time that a request may take as a whole.
	Timeout time.Duration
	// Goal is the time to the answer, or to its first event, that is aimed at.
	Goal time.Duration
	// EventGap is the longest pause between two events that is aimed at.
	EventGap time.Duration
	// Priority is the rank of the requests, where 0 is the most urgent.
	Priority int
	// Splits share the requests among services.
	Splits []Split
	// MaxTargets is the largest number of targets that one request is sent to.
	MaxTargets int
	// Anonymous requests need no key.
	Anonymous bool
	// Affine requests profit from a target that has served the same prompt parts.
	Affine bool
}

// Split is one service's share of a route.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is the share, relative to the other splits of the route.
	Weight int
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections bounds the connections to one target, from all routers together.
	MaxConnections int
	// Engine describes the targets if they are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Capacity is the number of requests that run at once in one engine.
	Capacity int
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int64
}

// Workspace is who pays for requests.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys admit its callers.
	Keys []string
	// Priority replaces the priority of routes, if Ranked is set.
	Priority int
	// Ranked tells that the workspace has a priority of its own.
	Ranked bool
	// Prepaid is the number of tokens that the workspace may use, if Metered is set.
	Prepaid int64
	// Metered tells that the workspace's tokens are counted.
	Metered bool
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes is the largest header of a request.
	HeaderBytes int
	// BodyBytes is the largest body of a request.
	BodyBytes int
	// HeaderTimeout bounds the time from a request's first byte to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}
