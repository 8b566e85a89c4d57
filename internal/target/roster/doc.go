// Package roster owns the list of target instances by service, as the targets
// announce themselves. A roster is immutable; placement reads the newest one.
package roster
