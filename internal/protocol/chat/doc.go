// Package chat defines the types of the chat completions API between callers and model
// engines, with the extensions that this fleet uses: run IDs, cancellation and resumption. The
// gateway, the engine client and the engine stand-in use it.
package chat
