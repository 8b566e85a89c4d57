package drain

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// handOverRetryInterval is the time between two attempts at Drain.HandOver.
const handOverRetryInterval = 500 * time.Millisecond

// Part is one step of a drain that may take a long time.
type Part struct {
	// Name describes the step in its errors.
	Name string
	// Run performs the step and returns early with an error when ctx ends.
	Run func(ctx context.Context) error
}

// Drain is the graceful stop of one router. All fields are set before Run.
type Drain struct {
	// Announce informs the fleet that this router is leaving. The router keeps serving.
	Announce func(ctx context.Context)
	// Age is the time after the start of Announce for which callers may still send
	// requests to this router, since they keep its address.
	Age time.Duration
	// Refuse makes the router refuse new requests. The refusal states that the request
	// has not been run.
	Refuse func()
	// Finish are run in order after Refuse and wait until the requests in flight have
	// ended; a part that closes connections comes after those that wait.
	Finish []Part
	// HandOver are run in order after Finish and return what this router holds. If any
	// of them fails, all are repeated, since outages of the platform are shorter than
	// Limit. They run even if Limit has been reached.
	HandOver []Part
	// Quit informs the fleet that this router has stopped.
	Quit func(ctx context.Context)
	// Limit bounds the duration of Run, which may exceed it by at most HandOverTime.
	Limit time.Duration
	// HandOverTime is the minimum time available to HandOver and Quit.
	HandOverTime time.Duration
}

// Run performs the drain. It returns the joined errors of the Finish and HandOver parts
// that were not completed in time, or nil.
//
// No request is refused before Age has passed, and no connection is closed while a
// request is in flight, unless Limit is reached first.
func (d *Drain) Run() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.Limit)
	defer cancel()
	ageTimer := time.NewTimer(d.Age)
	defer ageTimer.Stop()
	d.Announce(ctx)
	select {
	case <-ageTimer.C:
	case <-ctx.Done():
	}
	d.Refuse()
	finishErr := runParts(ctx, d.Finish)
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), max(d.HandOverTime, d.Limit-time.Since(start)))
	defer cancelHandOver()
	handOverErr := retryParts(handOverCtx, d.HandOver)
	d.Quit(handOverCtx)
	return errors.Join(finishErr, handOverErr)
}

// retryParts runs all parts repeatedly, until all succeed in one run or ctx ends. It
// returns the errors of the last run.
func retryParts(ctx context.Context, parts []Part) error {
	for {
		err := runParts(ctx, parts)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(handOverRetryInterval):
		}
	}
}

// runParts runs the parts in order, also after one has failed, and joins their errors.
func runParts(ctx context.Context, parts []Part) error {
	var errs []error
	for _, p := range parts {
		if err := p.Run(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", p.Name, err))
		}
	}
	return errors.Join(errs...)
}
