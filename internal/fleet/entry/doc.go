// Package entry selects the routers that callers use, from the membership view. It spreads
// callers over the routers that are alive and not leaving, and ranks routers per key by
// rendezvous hashing. The gateway and edge packages call it.
package entry
