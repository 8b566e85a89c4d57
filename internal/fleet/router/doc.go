// Package router assembles one router process from its settings: it connects the
// parts, serves callers, operators and peers, and stops them gracefully. The
// router command runs it.
package router
