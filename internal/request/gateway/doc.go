// Package gateway serves the HTTP API that callers use: chat completions, calls of
// plain services, the list of models and the list of router addresses. For each
// request it checks the workspace's key and quota, registers a run under the
// idempotency key, reserves tokens, dispatches the run to a target and streams the
// answer. A request whose key is known reads the existing run, on this router or
// on another one. The router process serves it.
package gateway
