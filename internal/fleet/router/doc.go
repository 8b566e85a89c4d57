// Package router assembles one router process from its settings. It builds the
// components, serves callers, operators and other routers, and drains the process at
// its end. The router command runs it.
package router
