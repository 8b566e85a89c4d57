// Package follow keeps a local copy of one table of the platform's store. It reads the
// table's change feed or, while the store cannot be reached, asks other routers for their
// copies. The router process uses it for the operator's configuration and for the
// announcements of the targets.
package follow
