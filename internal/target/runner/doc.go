// Package runner is the client of targets: model engines and plain services. It
// tells for each failure whether the request ran, and bounds the time without
// progress on a connection. The dispatcher calls it.
package runner
