package drain

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// releaseRetryInterval is the time between two attempts at Drain.ReleaseSteps.
const releaseRetryInterval = 500 * time.Millisecond

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
	// AddressTTL is the time after the start of AnnounceLeaving for which callers may still send
	// requests to this router, since they keep its address. It counts up to half of Timeout, so that
	// the requests can end.
	AddressTTL time.Duration
	// RestrictRequests makes the router refuse new requests, or at least those that may not end in
	// time. The refusal states that the request has not been run.
	RestrictRequests func()
	// FinishSteps are run in order after RestrictRequests and wait until the requests in flight have
	// ended; a step that closes connections comes after those that wait.
	FinishSteps []Step
	// ReleaseSteps are run in order after FinishSteps and return what this router holds. If any
	// of them fails, all are retried, since outages of the platform are shorter than
	// Timeout. They run even if Timeout has been reached.
	ReleaseSteps []Step
	// AnnounceStopped informs the fleet that this router has stopped.
	AnnounceStopped func(ctx context.Context)
	// Timeout bounds the duration of Run, which may exceed it by at most MinReleaseTime.
	Timeout time.Duration
	// MinReleaseTime is the minimum time available to ReleaseSteps and AnnounceStopped.
	MinReleaseTime time.Duration
}

// Run performs the drain. It returns the joined errors of FinishSteps and ReleaseSteps
// that were not completed in time, or nil.
//
// RestrictRequests is called once AddressTTL or half of Timeout has passed. No connection is closed
// while a request is in flight, unless Timeout is reached first.
func (d *Drain) Run() error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	ttlTimer := time.NewTimer(min(d.AddressTTL, d.Timeout/2))
	defer ttlTimer.Stop()
	d.AnnounceLeaving(ctx)
	select {
	case <-ttlTimer.C:
	case <-ctx.Done():
	}
	d.RestrictRequests()
	finishErr := runSteps(ctx, d.FinishSteps)
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), max(d.MinReleaseTime, d.Timeout-time.Since(start)))
	defer cancelRelease()
	releaseErr := retrySteps(releaseCtx, d.ReleaseSteps)
	d.AnnounceStopped(releaseCtx)
	return errors.Join(finishErr, releaseErr)
}

// retrySteps runs all steps repeatedly, until all succeed in one run or ctx ends. It
// returns the errors of the last run.
func retrySteps(ctx context.Context, steps []Step) error {
	for {
		err := runSteps(ctx, steps)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(releaseRetryInterval):
		}
	}
}

// runSteps runs the steps in order, also after one has failed, and joins their errors.
func runSteps(ctx context.Context, steps []Step) error {
	var errs []error
	for _, s := range steps {
		if err := s.Run(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// ObserveSignals calls onSignal with each signal that arrives, until ctx ends.
func ObserveSignals(ctx context.Context, signals <-chan os.Signal, onSignal func(s os.Signal)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			onSignal(s)
		}
	}
}
