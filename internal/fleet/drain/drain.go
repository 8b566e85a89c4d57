package drain

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// repeatPause is the time between tries to hand over.
const repeatPause = 500 * time.Millisecond

// Part is a step that may take long.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Drain is one graceful stop.
type Drain struct {
	// Announce tells the fleet that this router leaves; it still serves.
	Announce func(ctx context.Context)
	// Age is how long after the announcement a caller may still use this router.
	Age time.Duration
	// Refuse makes the router refuse new requests as not run.
	Refuse func()
	// Finish wait until what is in flight has ended; the later ones may close connections.
	Finish []Part
	// HandOver give back what this router holds. They are repeated until they succeed,
	// since the platform's outages are shorter than the limit, and run even after it.
	HandOver []Part
	// Quit tells the fleet that this router is gone.
	Quit func(ctx context.Context)
	// Limit is the longest time for the stop as a whole, without HandOverTime.
	Limit time.Duration
	// HandOverTime is the least time for HandOver and Quit.
	HandOverTime time.Duration
}

// Run stops the router, and reports what the limit has cut off.
//
// No request is refused before Age has passed, and no connection is closed while a
// request is in flight, unless the limit is reached first.
func (d *Drain) Run() error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.Limit)
	defer cancel()
	aged := time.NewTimer(d.Age)
	defer aged.Stop()
	d.Announce(ctx)
	select {
	case <-aged.C:
	case <-ctx.Done():
	}
	d.Refuse()
	finishErr := runParts(ctx, d.Finish)
	handOver, cancelHandOver := context.WithTimeout(context.Background(), max(d.HandOverTime, d.Limit-time.Since(began)))
	defer cancelHandOver()
	handOverErr := repeatParts(handOver, d.HandOver)
	d.Quit(handOver)
	return errors.Join(finishErr, handOverErr)
}

// repeatParts runs the parts until all succeed or ctx ends.
func repeatParts(ctx context.Context, parts []Part) error {
	for {
		err := runParts(ctx, parts)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(repeatPause):
		}
	}
}

func runParts(ctx context.Context, parts []Part) error {
	var failed []error
	for _, p := range parts {
		if err := p.Run(ctx); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", p.Name, err))
		}
	}
	return errors.Join(failed...)
}
