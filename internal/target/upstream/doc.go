// Package upstream sends single requests to targets over HTTP/1.1. It owns the
// connection pool of an instance, matches each response to its request by the id of the
// attempt, and reports for each failure whether the target may have run the request. The
// forwarder sends its attempts through this package.
package upstream
