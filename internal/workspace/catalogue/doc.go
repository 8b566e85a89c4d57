// Package catalogue replicates the configuration to every router: workspaces,
// targets, services, models and operators.
//
// The configuration is stored as rows of the platform's table. Each change is one
// conditional commit that increments the version by one and appends to a change
// log. Each router keeps an immutable snapshot and replaces it only by one of a
// higher version, which it reads from the table or receives from another router by
// gossip. Commands of operators change the configuration; the gateway and the target
// pool read it.
package catalogue
