// Package platform is a small stand-in for the platform's services: the
// transactional table, the object store and the lagging VM list. Tests and the
// demo start it; faults are set over HTTP at /fault.
package platform
