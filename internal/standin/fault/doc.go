// Package fault provides a listener whose connections can be made silent: a silent
// connection stays open, but the data sent by either end is lost, as when a
// middlebox has dropped the connection from its state table. The stand-ins for
// engines and services serve on it.
package fault
