// Package runner is the HTTP client for targets, which are model engines and plain
// services. It reports for each failure whether the request may have run, and fails
// requests whose connection makes no progress. The dispatcher sends requests through it.
package runner
