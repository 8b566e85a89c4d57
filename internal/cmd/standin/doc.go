// Package standin implements the rosevalve-standin command: stand-ins for the
// systems around the routers, a load generator and benchmarks. Each subcommand has
// its own file. Tests, the demo and measurements run the command.
package standin
