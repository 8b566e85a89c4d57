// Package edge assembles the router process that serves routed requests on the
// users' platform: it connects the parts to each other and to the translation of the
// platform's protocol, and stops them gracefully. The edge command runs it.
package edge
