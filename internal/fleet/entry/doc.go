// Package entry answers callers that ask which routers to use. It spreads them
// over the routers that the membership believes alive and not leaving. The
// gateway calls it.
package entry
