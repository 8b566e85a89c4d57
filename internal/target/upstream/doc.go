// Package upstream carries single exchanges with targets over HTTP/1.1. It owns the
// connections to one instance, binds an answer to its request, and tells for each
// failure whether the request can have run. The forwarder sends attempts through it.
package upstream
