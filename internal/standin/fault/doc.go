// Package fault provides a listener that can refuse connections for a time, as after a crash, and
// one whose connections can be made silent: a silent
// connection stays open, but the data sent by either end is lost, as when a
// middlebox has dropped the connection from its state table. The stand-ins for
// engines and services serve on it. Links carry connections at a rate, and raw servers answer with any bytes, such as
// broken heads.
package fault
