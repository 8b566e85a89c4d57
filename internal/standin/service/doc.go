// Package service is a stand-in for a plain service, which the routers serve
// beside the model engines. It counts every run of each call so that tests can
// detect repeated and unexpected runs, and injects faults on request.
package service
