// Package socket does with TCP sockets what the net package has no call for: it asks
// whether a peer has gone or bytes have come, bounds the silence of a peer, lets a refusal
// reach a caller that still sends, and closes a listener without cutting off who connects.
package socket
