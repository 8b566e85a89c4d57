package drain

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// handOverRetryInterval is the time between two attempts at Drain.HandOver.
const handOverRetryInterval = 500 * time.Millisecond

// Step is one step of a drain that may take a long time.
type Step struct {
	// Name describes the step in its errors.
	Name string
	// Run performs the step and returns early with an error when ctx ends.
	Run func(ctx context.Context) error
}

// Drain is the graceful stop of one router. All fields are set before Run.
type Drain struct {
	// AnnounceLeaving informs the fleet that this router is leaving. The router keeps serving.
	AnnounceLeaving func(ctx context.Context)
	// AddressTTL is the time after the start of Announce for which callers may still send
	// requests to this router, since they keep its address.
	AddressTTL time.Duration
	// RefuseRequests makes the router refuse new requests. The refusal states that the request
	// has not been run.
	RefuseRequests func()
	// FinishSteps are run in order after Refuse and wait until the requests in flight have
	// ended; a part that closes connections comes after those that wait.
	FinishSteps []Step
	// ReleaseSteps are run in order after Finish and return what this router holds. If any
	// of them fails, all are repeated, since outages of the platform are shorter than
	// Limit. They run even if Limit has been reached.
	ReleaseSteps []Step
	// AnnounceStopped informs the fleet that this router has stopped.
	AnnounceStopped func(ctx context.Context)
	// Timeout bounds the duration of Run, which may exceed it by at most HandOverTime.
	Timeout time.Duration
	// MinReleaseTime is the minimum time available to HandOver and Quit.
	MinReleaseTime time.Duration
}

// Run performs the drain. It returns the joined errors of the Finish and HandOver parts
// that were not completed in time, or nil.
//
// No request is refused before Age has passed, and no connection is closed while a
// request is in flight, unless Limit is reached first.
func (d *Drain) Run() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	ageTimer := time.NewTimer(d.AddressTTL)
	defer ageTimer.Stop()
	d.AnnounceLeaving(ctx)
	select {
	case <-ageTimer.C:
	case <-ctx.Done():
	}
	d.RefuseRequests()
	finishErr := runParts(ctx, d.FinishSteps)
	handOverCtx, cancelHandOver := context.WithTimeout(context.Background(), max(d.MinReleaseTime, d.Timeout-time.Since(start)))
	defer cancelHandOver()
	handOverErr := retryParts(handOverCtx, d.ReleaseSteps)
	d.AnnounceStopped(handOverCtx)
	return errors.Join(finishErr, handOverErr)
}

// retryParts runs all parts repeatedly, until all succeed in one run or ctx ends. It
// returns the errors of the last run.
func retryParts(ctx context.Context, parts []Step) error {
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
func runParts(ctx context.Context, parts []Step) error {
	var errs []error
	for _, p := range parts {
		if err := p.Run(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", p.Name, err))
		}
	}
	return errors.Join(errs...)
}
