// Package socket provides TCP socket operations that package net lacks: checking for received
// data or a closed connection without reading, giving up on a silent peer, delivering a refusal
// to a caller that is still sending, and closing a listener without resetting new connections.
package socket
