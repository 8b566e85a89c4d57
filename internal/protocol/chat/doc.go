// Package chat holds the plain types of the chat completions API that callers
// and model engines speak, with the extensions that this fleet relies on: a run
// id, cancellation and resumption. It decides nothing; the gateway, the engine
// client and the engine stand-in share it.
package chat
