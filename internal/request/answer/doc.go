// Package answer owns the errors that callers receive: the status, the code,
// what is known about whether the request ran, and when to come back. Every
// stage of a request returns them and the gateway encodes them.
package answer
