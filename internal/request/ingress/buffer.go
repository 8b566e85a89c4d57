package ingress

import "sync"

const (
	// firstBuffer is the size in bytes of the first buffer of a body. Each further one is larger by the factor growth, and by
	// largeGrowth from largeBuffer on.
	firstBuffer = 4 << 10
	growth      = 4
	largeBuffer = 64 << 10
	largeGrowth = 2
	// bufferStep divides the sizes of buffers, so that there are few sizes and they are used again.
	bufferStep = firstBuffer
	// keptShare is the share of the memory for requests that unused buffers may take. What is only garbage stays in memory
	// until the runtime has collected it, which may take long while a crowd uses the processor.
	keptShare = 0.25
	// defaultKept is the same in bytes if the memory is not bounded.
	defaultKept = 2 << 20
)

// buffers are unused buffers, which are used again.
type buffers struct {
	mu    sync.Mutex // guards the fields below
	free  map[int][]*[]byte
	bytes int64
}

// bufferSize returns the size of the buffer that follows one of used bytes, for a body of at most largest bytes.
func bufferSize(used, largest int) int {
	factor := growth
	if used >= largeBuffer {
		factor = largeGrowth
	}
	steps := (max(largest, used+1) + bufferStep - 1) / bufferStep
	return min(max(firstBuffer, factor*used), steps*bufferStep)
}

// acquire returns a buffer of a size. Its content is undefined.
func (p *buffers) acquire(size int) *[]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.free[size]
	if len(list) == 0 {
		b := make([]byte, size)
		return &b
	}
	b := list[len(list)-1]
	list[len(list)-1] = nil
	p.free[size] = list[:len(list)-1]
	p.bytes -= int64(size)
	return b
}

// release ends the use of a buffer. It is kept unless kept bytes of them are.
func (p *buffers) release(b *[]byte, kept int64) {
	size := len(*b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes+int64(size) > kept {
		return
	}
	if p.free == nil {
		p.free = make(map[int][]*[]byte)
	}
	p.free[size] = append(p.free[size], b)
	p.bytes += int64(size)
}

// keptBuffers returns how many bytes unused buffers may take.
func (s *Server) keptBuffers() int64 {
	if s.Memory == nil {
		return defaultKept
	}
	return int64(keptShare * float64(s.Memory.Size()))
}
