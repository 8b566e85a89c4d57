// Package quarantine finds the part of a prompt that crashes each engine which begins to answer
// it, and keeps further requests with that part away from the engines.
//
// Routers tell each other of the crashes that they observe. Each router decides by itself, and
// the decision is written to the platform's store, where all routers read it.
// docs/design/quarantine.md gives the reasons.
package quarantine
