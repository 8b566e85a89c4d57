// Package rosevalve is the command line of the router and of its operators, one
// file for each subcommand. The main program calls Main.
package rosevalve
