// Package standin is the command line of the stand-ins, one file for each
// subcommand. Tests, the demo and measurements run it.
package standin
