// Package follow keeps a copy of one table of the platform's store, from its list of
// changes or, while the store is not reached, from other routers. The router process
// follows the operator's configuration and the targets' announcements with it.
package follow
