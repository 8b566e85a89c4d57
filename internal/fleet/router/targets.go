package router

import "rosevalve/internal/target/pool"

// connectTargets builds the pool of targets, which the catalogue feeds.
func (r *Router) connectTargets() {
	r.targets = &pool.Pool{}
}
