package socket

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowDials opens connections that take a while, and counts the dials.
type slowDials struct {
	takes        time.Duration
	begun, going atomic.Int32
}

func (d *slowDials) dial(ctx context.Context) (net.Conn, error) {
	d.begun.Add(1)
	d.going.Add(1)
	defer d.going.Add(-1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(d.takes):
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// isClosed reports whether this side of a pipe is closed.
func isClosed(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }

// TestSlowDialIsNotBegunAnew guards against connections of a busy router that are given up just before they open, and
// dialled anew.
func TestSlowDialIsNotBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := &slowDials{takes: 700 * time.Millisecond}
		var d LastingDialer
		began := time.Now()
		_, err := d.Connect(t.Context(), 250*time.Millisecond, dials.dial)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(began), 250*time.Millisecond)
		time.Sleep(time.Second)
		_, err = d.Connect(t.Context(), 250*time.Millisecond, dials.dial)
		assert.NilError(t, err)
		assert.Equal(t, dials.begun.Load(), int32(1))
	})
}

// TestFewDialsGoOn guards against sockets that pile up while the peer is down.
func TestFewDialsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := &slowDials{takes: 3 * time.Second}
		var d LastingDialer
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				_, err := d.Connect(t.Context(), 250*time.Millisecond, dials.dial)
				assert.Check(t, err != nil)
			})
		}
		wg.Wait()
		synctest.Wait()
		assert.Equal(t, dials.going.Load(), int32(1))
		time.Sleep(3 * time.Second)
		assert.Equal(t, dials.going.Load(), int32(0))
	})
}

// TestDialEndsWithItsCaller guards against a caller that waits for a connection beyond its own time.
func TestDialEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := &slowDials{takes: time.Second}
		var d LastingDialer
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := d.Connect(ctx, 2*time.Second, dials.dial)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		time.Sleep(dials.takes + spareTime)
	})
}

// TestConnectionThatNobodyTakesIsClosed guards against idle connections that stay open.
func TestConnectionThatNobodyTakesIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := &slowDials{takes: time.Second}
		conns := make(chan net.Conn, 1)
		dial := func(ctx context.Context) (net.Conn, error) {
			conn, err := dials.dial(ctx)
			conns <- conn
			return conn, err
		}
		var d LastingDialer
		_, err := d.Connect(t.Context(), 100*time.Millisecond, dial)
		assert.Assert(t, err != nil)
		time.Sleep(2 * time.Second)
		opened := <-conns
		assert.Assert(t, !isClosed(opened))
		time.Sleep(spareTime)
		assert.Assert(t, isClosed(opened))
	})
}
