package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Workspace is a customer with its share of the fleet, limits and API keys.
type Workspace struct {
	Name string `json:"name"`
	// Weight is its share of the target capacity, relative to other workspaces.
	Weight int64 `json:"weight"`
	// MaxConcurrent is the maximum number of its requests in flight on one router; 0 means
	// no limit.
	MaxConcurrent int64 `json:"max_concurrent,omitempty"`
	// MaxTokens is the maximum number of completion tokens of one request; 0 means no limit.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// RequestsPerMinute is the rate limit of its new requests, over all routers; 0 means no
	// limit.
	RequestsPerMinute int64 `json:"requests_per_minute,omitempty"`
	// TokensPerMinute is the rate limit of the tokens requested by its new requests, over
	// all routers; 0 means no limit.
	TokensPerMinute int64 `json:"tokens_per_minute,omitempty"`
	// KeyHashes are the hashes of its API keys, as returned by HashKey, the newest first.
	KeyHashes []string `json:"key_hashes"`
	// OldKeyUntil is when all keys but the newest expire; zero means never.
	OldKeyUntil time.Time `json:"old_key_until,omitzero"`
}

// Target is a back end: a model engine, or an instance of a plain service.
type Target struct {
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	// Models are the names of the models that the engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service, or empty if the target is an engine.
	Service string `json:"service,omitempty"`
	// Capacity is the maximum number of concurrent requests; 0 means that it is not
	// configured and has to be estimated.
	Capacity int64 `json:"capacity,omitempty"`
	// Leaving is set while the target drains: it receives no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencingToken is set if the target refuses orders with an outdated fencing token.
	ChecksFencingToken bool `json:"checks_fencing,omitempty"`
}

// ServesModel reports whether the target is an engine that serves the model.
func (t Target) ServesModel(model string) bool { return slices.Contains(t.Models, model) }

// Model holds the limits of requests for one model.
type Model struct {
	Name string `json:"name"`
	// MaxTokens is the maximum number of completion tokens of one request; 0 means no limit.
	MaxTokens int64 `json:"max_tokens,omitempty"`
}

// Operator is a person or program that may send commands.
type Operator struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// KeyHashes are the hashes of the operator's keys, as returned by HashKey, the newest
	// first.
	KeyHashes []string `json:"key_hashes"`
	// OldKeyUntil is when all keys but the newest expire; zero means never.
	OldKeyUntil time.Time `json:"old_key_until,omitzero"`
}

// Service is a plain HTTP service with its routes and price.
type Service struct {
	Name string `json:"name"`
	// Routes are the routes for which it is configured whether calls are idempotent.
	Routes []Route `json:"routes"`
	// TokensPerCall is the price of one call, in tokens.
	TokensPerCall int64 `json:"tokens_per_call"`
}

// Route specifies whether calls of one method and path of a service are idempotent.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Idempotent reports whether a call of the method and path may be retried. Without a
// configured route, only GET and HEAD may.
func (s Service) Idempotent(method, path string) bool {
	for _, r := range s.Routes {
		if r.Method == method && r.Path == path {
			return r.Idempotent
		}
	}
	return method == "GET" || method == "HEAD"
}

// Evacuation has the targets of a failure domain receive no new requests.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
}

// HashKey returns the hexadecimal SHA-256 hash of a key, the form in which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// validName reports whether a name can be part of a row key.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/ \t\n\"")
}
