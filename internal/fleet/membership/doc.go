// Package membership owns this router's view of the other routers. Each beat
// probes a constant number of peers and carries a bounded number of the freshest
// statements, so that the cost of a router does not grow with the fleet. A router
// that answers neither directly nor through others is suspected, and removed if it
// does not refute the suspicion. The view is a hint: no promise about tokens or
// answers rests on it.
package membership
