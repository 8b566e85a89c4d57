// Package catalogue owns the configuration: workspaces, targets and services. Its
// rows live in the platform's table, every change is one conditional commit that
// raises the version, and each router holds an immutable snapshot that only ever
// moves to a higher version. The operators' commands change it; the gateway and
// the target pool read it.
package catalogue
