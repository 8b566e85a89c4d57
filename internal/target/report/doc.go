// Package report polls the engines for their load and for the prompt prefixes in their
// caches, and probes whether a target responds. Reports are delayed and may be wrong; the
// pool treats them as hints.
package report
