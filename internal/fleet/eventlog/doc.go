// Package eventlog writes the structured log of an edge process: one line for each
// event of a fixed list, as JSON or text, within a budget of lines and bytes. Writing
// never waits for the reader; what does not fit is counted and told in the next line.
package eventlog
