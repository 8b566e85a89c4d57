package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Workspace is one team that shares the fleet.
type Workspace struct {
	Name string `json:"name"`
	// Weight is its share of the targets relative to other workspaces.
	Weight int64 `json:"weight"`
	// KeyHashes are the hashes of the keys that its callers may use.
	KeyHashes []string `json:"key_hashes"`
}

// Target is one model engine or plain service.
type Target struct {
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	// Models are the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Service is the plain service that the target runs, if it is no engine.
	Service string `json:"service,omitempty"`
	// Leaving targets receive no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing tells whether the target refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// ServesModel reports whether the target is an engine with the model.
func (t Target) ServesModel(model string) bool { return slices.Contains(t.Models, model) }

// Service is a plain service with what is known about its routes.
type Service struct {
	Name string `json:"name"`
	// Routes are the routes whose calls may be repeated; others run at most once.
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

// HashKey returns the form in which a workspace's key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// validName reports whether a name can be part of a table key.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/ \t\n\"")
}
