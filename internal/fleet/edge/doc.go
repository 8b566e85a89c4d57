// Package edge assembles the router process that serves routed requests on the users'
// platform: it connects the components to each other and to the adapter for the platform's
// protocol, and shuts them down gracefully. The edge command runs it.
package edge
