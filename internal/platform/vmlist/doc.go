// Package vmlist is the client of the platform's list of VMs, which lags behind the actual
// VMs. Target health and fleet membership use the list only as a hint.
package vmlist
