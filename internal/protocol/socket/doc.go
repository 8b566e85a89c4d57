// Package socket asks the operating system about a connection without taking
// anything out of it. Servers ask whether a caller has gone, clients whether an idle
// connection can carry another request.
package socket
