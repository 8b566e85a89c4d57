package placement

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotAllowed reports that the request may run at none of the instances that are left for it, as their failure domains
// are outside its home regions.
var ErrNotAllowed = errors.New("request may not run in the failure domain of any instance")

// usable returns the instances that the request may be sent to by their failure domains, in the same order.
func (p *Placement) usable(list []*instance, r Requirements) []*instance {
	barred := func(i *instance) bool { return p.evacuated(i) || !r.allows(i) }
	if !slices.ContainsFunc(list, barred) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), barred)
}

// allows reports whether an instance may run the request by its failure domain.
func (r Requirements) allows(i *instance) bool {
	return r.Allowed == nil || r.Allowed(i.FailureDomain)
}
