// Package inner holds the plain types of the protocol between routers: JSON-RPC
// 2.0 over TCP, one method for each message. It decides nothing; the peer links
// carry the messages, and membership and budgets define what they mean.
package inner
