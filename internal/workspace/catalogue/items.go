package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Workspace is one team that shares the fleet.
type Workspace struct {
	Name string `json:"name"`
	// Weight is its share of the targets relative to other workspaces.
	Weight int64 `json:"weight"`
	// MaxConcurrent bounds its requests in flight on one router; 0 sets no bound.
	MaxConcurrent int64 `json:"max_concurrent,omitempty"`
	// MaxTokens bounds the completion tokens of one request; 0 sets no bound.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// RequestsPerMinute bounds its new requests on all routers together; 0 sets no bound.
	RequestsPerMinute int64 `json:"requests_per_minute,omitempty"`
	// TokensPerMinute bounds the tokens that its new requests ask for; 0 sets no bound.
	TokensPerMinute int64 `json:"tokens_per_minute,omitempty"`
	// KeyHashes are the hashes of the keys that its callers may use, the newest first.
	KeyHashes []string `json:"key_hashes"`
	// OldKeyUntil is when the keys behind the newest stop to be valid.
	OldKeyUntil time.Time `json:"old_key_until,omitzero"`
}

// Target is one model engine or plain service.
type Target struct {
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	// Models are the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the plain service that the target runs, if it is no engine.
	Service string `json:"service,omitempty"`
	// Capacity is the number of requests that it can run at once; 0 leaves it to be learnt.
	Capacity int64 `json:"capacity,omitempty"`
	// Leaving targets receive no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing tells whether the target refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// ServesModel reports whether the target is an engine with the model.
func (t Target) ServesModel(model string) bool { return slices.Contains(t.Models, model) }

// Model is a model with the limits of its requests.
type Model struct {
	Name string `json:"name"`
	// MaxTokens bounds the completion tokens of one request; 0 sets no bound.
	MaxTokens int64 `json:"max_tokens,omitempty"`
}

// Operator is a person or program that sends commands.
type Operator struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// KeyHashes are the hashes of the operator's keys, the newest first.
	KeyHashes []string `json:"key_hashes"`
	// OldKeyUntil is when the keys behind the newest stop to be valid.
	OldKeyUntil time.Time `json:"old_key_until,omitzero"`
}

// Service is a plain service with what is known about its routes.
type Service struct {
	Name string `json:"name"`
	// Routes are the routes that are known to be repeatable or not.
	Routes []Route `json:"routes"`
	// TokensPerCall is what a call is billed.
	TokensPerCall int64 `json:"tokens_per_call"`
}

// Route is a method and a path of a service.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Idempotent reports whether a call of the method and path may be repeated; an
// unlisted GET may, anything else unlisted may not.
func (s Service) Idempotent(method, path string) bool {
	for _, r := range s.Routes {
		if r.Method == method && r.Path == path {
			return r.Idempotent
		}
	}
	return method == "GET" || method == "HEAD"
}

// HashKey returns the form in which a key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// validName reports whether a name can be part of a table key.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/ \t\n\"")
}
