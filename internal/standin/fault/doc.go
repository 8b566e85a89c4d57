// Package fault makes the connections of a stand-in go silent: they stay open,
// but what either end sends is lost, as when a device between the two has
// forgotten the connection. The stand-ins of engines and services serve on it.
package fault
