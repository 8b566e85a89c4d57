package placement

import (
	"github.com/cockroachdb/errors"

	"rosevalve/internal/request/answer"
	"rosevalve/internal/target/runner"
)

// ErrEvacuated reports that only instances in evacuated failure domains are left for the request, or that the domain of
// an instance was evacuated since it was chosen.
var ErrEvacuated = errors.New("failure domain is evacuated")

// evacuatedError is ErrEvacuated for a request that no instance is left for.
type evacuatedError struct{}

func (evacuatedError) Error() string {
	return "all instances that could get the request are in evacuated failure domains"
}

// Is reports whether the target is ErrEvacuated or ErrNoInstance.
func (evacuatedError) Is(target error) bool { return target == ErrEvacuated || target == ErrNoInstance }

// evacuated reports whether the failure domain of an instance is evacuated.
func (p *Placement) evacuated(i *instance) bool {
	return p.Evacuated != nil && p.Evacuated(i.FailureDomain)
}

// CountIn returns the number of instances in a failure domain.
func (p *Placement) CountIn(domain string) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, s := range p.services {
		for _, i := range s.instances {
			if i.FailureDomain == domain {
				n++
			}
		}
	}
	return n
}

// checkEvacuation returns an error, which states that nothing was sent, if the failure domain of the instance was
// evacuated since it was chosen.
func (s *Slot) checkEvacuation() error {
	if s.evacuated == nil || !s.evacuated(s.instance) {
		return nil
	}
	return &runner.Error{RunState: answer.NotRun, Err: ErrEvacuated}
}
