// Package peer manages the connections between routers. It serves the methods of the
// inner protocol, which is JSON-RPC over TCP with optional mutual TLS, and calls them
// on other routers by address. Membership, the table relay and the budget witnesses
// use it. It keeps one connection to each router it calls, replaces a connection on
// which no data arrives, and redials with exponential backoff.
package peer
