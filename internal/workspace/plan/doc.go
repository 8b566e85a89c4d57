// Package plan provides the routing plan: it determines the route, the service, the
// limits and the paying workspace of each request. A plan is immutable and belongs to one
// accepted version of the configuration; the forwarder uses the newest one.
package plan
