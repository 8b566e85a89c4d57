// Package membership owns this router's view of the other routers. Heartbeats to
// a few peers spread what each router says of itself; a router that is not heard
// of is suspected and later dropped. The view is a hint: no promise about tokens
// or answers rests on it.
package membership
