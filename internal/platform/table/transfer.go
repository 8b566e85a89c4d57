package table

import (
	"context"
	"sync/atomic"
	"time"
)

// Transfer records how the answer to one call of the store arrives. The call writes it, and any
// goroutine may read it meanwhile.
type Transfer struct {
	started  time.Time
	header   atomic.Int64 // time from the start to the header of the answer, in nanoseconds; 0 until it arrives
	complete atomic.Int64 // time from the start to the end of the body, in nanoseconds; 0 until it arrives
	decoded  atomic.Int64 // time from the start to the end of decoding, in nanoseconds; 0 until then
	bytes    atomic.Int64 // bytes of the body that have arrived
}

// NewTransfer returns the record of a call that starts now.
func NewTransfer() *Transfer { return &Transfer{started: time.Now()} }

// transferKey is the key of a Transfer in a context.
type transferKey struct{}

// WithTransfer returns a context whose calls of the store are recorded in t.
func WithTransfer(ctx context.Context, t *Transfer) context.Context {
	return context.WithValue(ctx, transferKey{}, t)
}

// TransferOf returns the record that calls with the context write to. It is one of its own if the context has
// none.
func TransferOf(ctx context.Context) *Transfer {
	if t, ok := ctx.Value(transferKey{}).(*Transfer); ok {
		return t
	}
	return NewTransfer()
}

// MarkHeader records that the header of the answer has arrived.
func (t *Transfer) MarkHeader() { t.header.Store(int64(time.Since(t.started))) }

// AddBytes records that n more bytes of the body have arrived.
func (t *Transfer) AddBytes(n int) { t.bytes.Add(int64(n)) }

// MarkComplete records that the whole body has arrived.
func (t *Transfer) MarkComplete() { t.complete.Store(int64(time.Since(t.started))) }

// MarkDecoded records that the body has been decoded.
func (t *Transfer) MarkDecoded() { t.decoded.Store(int64(time.Since(t.started))) }

// Bytes returns the number of bytes of the body that have arrived.
func (t *Transfer) Bytes() int64 { return t.bytes.Load() }

// Answered reports whether the header of the answer has arrived.
func (t *Transfer) Answered() bool { return t.header.Load() > 0 }

// Complete reports whether the whole body has arrived.
func (t *Transfer) Complete() bool { return t.complete.Load() > 0 }

// Elapsed returns the time since the start of the call.
func (t *Transfer) Elapsed() time.Duration { return time.Since(t.started) }

// Wait returns the time from the start of the call to the header of the answer; 0 if it has not arrived.
func (t *Transfer) Wait() time.Duration { return time.Duration(t.header.Load()) }

// Reading returns how long the body took to arrive, or has taken so far.
func (t *Transfer) Reading() time.Duration {
	if !t.Answered() {
		return 0
	}
	if t.Complete() {
		return time.Duration(t.complete.Load()) - t.Wait()
	}
	return t.Elapsed() - t.Wait()
}

// Decoding returns how long the body took to be decoded; 0 if it has not been decoded.
func (t *Transfer) Decoding() time.Duration {
	if t.decoded.Load() == 0 {
		return 0
	}
	return time.Duration(t.decoded.Load() - t.complete.Load())
}
