// Package membership maintains this router's view of the other routers by a gossip protocol with
// failure detection. In each round, a router sends heartbeats to a constant number of peers. They
// carry a bounded number of recent updates, so that the cost per router does not grow with the
// fleet; an update is a versioned entry of one router. Some heartbeats also carry a page, which
// lists versions of entries, so that the peer can return updates which the sender lacks. A router
// that answers neither directly nor through other routers is suspected, and removed if it does not
// refute the suspicion.
//
// The view is only a hint: guarantees about tokens and answers must not depend on it.
package membership
