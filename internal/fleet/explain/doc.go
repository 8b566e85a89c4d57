// Package explain reconstructs from the saved logs of edge processes what happened to one
// request: its log lines in order, the state known to each router when the request arrived,
// and the cause of its outcome in one sentence. It also accounts for the tokens of a
// workspace by process. The commands explain and account of the command line use it.
package explain
