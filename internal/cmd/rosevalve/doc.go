// Package rosevalve implements the command line of the program rosevalve, which runs
// routers and sends operators' commands to them. Each subcommand has its own file or
// files. The main program calls Main.
package rosevalve
