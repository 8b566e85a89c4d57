// Package httpjson reads JSON requests and writes JSON answers over HTTP. The gateway, the
// router's operator endpoints and the stand-ins use it.
package httpjson
