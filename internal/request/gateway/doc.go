// Package gateway is the HTTP side that callers see: completions, plain services,
// models and entries. It admits a request, registers its run, reserves its
// tokens, starts it and relays its answer. The router process serves it.
package gateway
