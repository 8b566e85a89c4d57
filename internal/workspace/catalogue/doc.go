// Package catalogue owns the configuration: workspaces, targets, services, models
// and operators. Its rows live in the platform's table, every change is one
// conditional commit that raises the version by one, and each router holds an
// immutable snapshot that only ever moves to a higher version, learnt from the
// table or from other routers. The operators' commands change it; the gateway and
// the target pool read it.
package catalogue
