// Package operator implements the command language of the fleet's operators: its
// grammar, and the execution of commands on the configuration and the budget ledger.
// The router serves it over HTTP; the subcommand ctl is its client.
package operator
