package plan

import "time"

//go:generate ../../../bin/stringer -type=Kind -linecomment

// Kind specifies whether the requests of a route may be retried and how they are answered.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota // idempotent
	// NonIdempotent requests must run at most once.
	NonIdempotent // non_idempotent
	// Streaming requests are answered by a stream of events.
	Streaming // streaming
)

// Config is an accepted configuration, decoded from the row of the operator.
type Config struct {
	// Version orders the configurations: a higher version replaces a lower one.
	Version uint64
	// Routes are the routes, in any order.
	Routes []Route
	// Services are the services that the routes refer to.
	Services []Service
	// Workspaces are the customers with their API keys. If it is empty, requests need no key.
	Workspaces []Workspace
	// Limits are the limits of requests and connections of callers.
	Limits Limits
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the requested host name.
	Host string
	// Prefix is the path prefix, which begins and ends with a slash. The route with the
	// longest matching prefix is used.
	Prefix string
	// Kind specifies whether requests may be retried and how they are answered.
	Kind Kind
	// Resumable allows a stream to be continued by another target after its last event.
	Resumable bool
	// Timeout is the maximum duration of a request, including retries.
	Timeout time.Duration
	// LatencyGoal is the latency objective: the time to the answer or, for a stream, to its first
	// event.
	LatencyGoal time.Duration
	// EventGapGoal is the objective for the longest time between two events of a stream.
	EventGapGoal time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Splits distribute the requests among services.
	Splits []Split
	// MaxTargets is the maximum number of targets that one request is sent to.
	MaxTargets int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// CacheAffinity is set if requests benefit from a target that has served the same prompt parts
	// before.
	CacheAffinity bool
	// HomeRegions are the regions whose targets may run the requests; if it is empty, all may.
	HomeRegions []string
}

// Split is the share of one service in the requests of a route.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is the share, relative to the other splits of the route.
	Weight int
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the maximum number of connections to one target, from all routers.
	MaxConnections int
	// ColdRate is the number of requests a second that a target bears while it is cold; 0 if that
	// is not limited.
	ColdRate float64
	// ColdTime is how long a target is cold after its start; 0 if that is not known.
	ColdTime time.Duration
	// Engine describes the targets if they are model engines, and is nil otherwise.
	Engine *Engine
}

// Engine describes each model engine of a service.
type Engine struct {
	// MaxConcurrent is the maximum number of concurrent requests of one engine.
	MaxConcurrent int
	// CacheTokens is the size of the KV cache of one engine, in tokens.
	CacheTokens int64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int64
}

// Workspace is a customer, to which requests are attributed by their key.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys are the API keys of its callers.
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority int
	// HasPriority is set if the workspace has its own priority.
	HasPriority bool
	// PrepaidTokens is the total number of tokens that the workspace may use, if HasPrepaid is set.
	PrepaidTokens int64
	// HasPrepaid is set if the tokens of the workspace are limited to PrepaidTokens.
	HasPrepaid bool
	// HomeRegions are the regions whose targets may run the requests; if it is empty, all may.
	HomeRegions []string
}

// Limits are the limits of requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its
	// header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may stay open without a request.
	IdleTimeout time.Duration
}
