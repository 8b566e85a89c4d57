// Package vmlist is the client of the platform's list of VMs, which lags behind
// the truth. Target health and fleet membership read it as a hint.
package vmlist
