// Package plan owns the routing plan: which request goes to which service, under
// which bounds, and on whose account. A plan is one accepted version and never
// changes; the forwarder looks requests up in the newest one.
package plan
