package forward

import "time"

const (
	// maxBodyDivisor divides the memory for buffered answers to give the largest size of one answer.
	maxBodyDivisor = 8
	// memoryPoll and memoryWait are how often and how long a buffered answer waits for memory that was made free.
	memoryPoll = 5 * time.Millisecond
	memoryWait = 200 * time.Millisecond
)

// maxBody returns the largest size of one buffered answer, in bytes.
func (f *Forwarder) maxBody() int64 { return f.BodyMemory.Size() / maxBodyDivisor }

// growBody reserves n more bytes for the buffered answer of an attempt. If the memory is used up, it ends answers whose
// callers do not read them, and waits for a moment.
func (a *attempt) growBody(n int64) error {
	f := a.request.f
	err := a.memory.Grow(n)
	for end := time.Now().Add(memoryWait); err != nil && f.FreeBodyMemory != nil && f.FreeBodyMemory() && time.Now().Before(end); {
		time.Sleep(memoryPoll)
		err = a.memory.Grow(n)
	}
	return err
}
