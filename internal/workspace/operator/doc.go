// Package operator owns the operators' language: its grammar, and the execution
// of its commands against the configuration and the ledger. The router serves it
// over HTTP and the ctl command sends commands to it.
package operator
