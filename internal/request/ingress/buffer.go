package ingress

import "sync"

const (
	// firstBuffer is the size in bytes of the first buffer of a body, and growth the factor of each further one.
	firstBuffer = 4 << 10
	growth      = 4
	// sharedSizes is how many of the sizes, from the first on, have buffers that are used again.
	sharedSizes = 3
)

// buffers are unused buffers by size.
var buffers [sharedSizes]sync.Pool

// bufferSize returns the size of the buffer that follows one of used bytes, for a body of end bytes or more, at most limit.
func bufferSize(used, end, limit int) int {
	size := max(firstBuffer, growth*used)
	if size <= firstBuffer<<(2*(sharedSizes-1)) {
		// A buffer that is used again has one of a few sizes.
		return size
	}
	if end > used {
		size = min(size, end)
	}
	return min(size, limit)
}

// sizeIndex returns the index in buffers for a size, or -1.
func sizeIndex(size int) int {
	for n, s := 0, firstBuffer; n < sharedSizes; n, s = n+1, s*growth {
		if s == size {
			return n
		}
	}
	return -1
}

// acquireBuffer returns a buffer of a size. Its content is undefined.
func acquireBuffer(size int) *[]byte {
	if n := sizeIndex(size); n >= 0 {
		if b, ok := buffers[n].Get().(*[]byte); ok {
			return b
		}
	}
	b := make([]byte, size)
	return &b
}

// releaseBuffer ends the use of a buffer.
func releaseBuffer(b *[]byte) {
	if n := sizeIndex(len(*b)); n >= 0 {
		buffers[n].Put(b)
	}
}
