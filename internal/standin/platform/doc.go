// Package platform is a stand-in for the platform's services: the transactional
// table, the object store and the VM list, which lags behind. It keeps all data in
// memory. Tests and the demo start it; faults are injected over HTTP at /fault.
package platform
