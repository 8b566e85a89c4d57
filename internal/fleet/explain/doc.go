// Package explain finds out from saved logs of edge processes what became of one
// request: its lines in order, what each machine believed at that moment, and the cause
// in one sentence; and where the tokens of a workspace went. The command line uses it.
package explain
