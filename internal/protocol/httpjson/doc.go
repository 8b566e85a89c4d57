// Package httpjson answers HTTP requests with JSON. The gateway, the router's
// operator endpoints and the stand-ins call it.
package httpjson
