// Package eventlog writes the structured log of an edge process: one JSON or text line for
// each occurrence of a fixed set of events, rate limited in lines and bytes. Emitting a line
// never blocks on the log's reader; lines over the limit are dropped and counted in the next
// line that is written.
package eventlog
