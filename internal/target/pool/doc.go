// Package pool manages the targets that this router uses. It decides which of them
// receive new requests, limits the number of outstanding requests at each, and owns
// the bounded worker pools that call them. Its input is the catalogue and the
// platform's VM list. The queue reserves slots with Pool.Reserve, and the dispatcher
// runs attempts on them.
package pool
