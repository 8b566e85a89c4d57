// Package answer defines the errors that callers receive: the HTTP status, the
// error code, whether the request ran as far as that is known, and when to retry.
// Each stage of request processing returns them, and the gateway encodes them.
package answer
