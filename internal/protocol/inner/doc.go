// Package inner defines the message types of the protocol between routers: JSON-RPC 2.0 over
// TCP, with one method per message. It holds no state; package peer transports the messages,
// and the membership and budget packages define their semantics. An incarnation is one run of
// a router process; a restarted router is another incarnation.
package inner
