// Package httpjson reads and answers HTTP requests in JSON. The gateway, the router's
// operator endpoints and the stand-ins call it.
package httpjson
