package roster

import (
	"cmp"
	"slices"
	"time"
)

// Instance is one incarnation of a target.
type Instance struct {
	// ID identifies the instance; a restarted instance may keep it.
	ID string
	// Service is the name of the service that the instance belongs to.
	Service string
	// Addr is the IP address and port, which another instance may reuse later.
	Addr string
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string
	// Capacity is the number of requests that the instance runs concurrently.
	Capacity int
	// Draining is set if the instance is leaving and accepts no new requests.
	Draining bool
	// StartedAt is the start of this incarnation by the instance's own clock. It orders the
	// incarnations of one ID.
	StartedAt time.Time
	// TellsCold is set if the instance says whether it is cold, and ColdFor is for how long it was
	// when it announced itself; 0 if it was not.
	TellsCold bool
	ColdFor   time.Duration
	// ColdUntil is ColdFor after the arrival of the announcement; zero if it was not cold.
	ColdUntil time.Time
}

// SameIncarnation reports whether i and other describe the same incarnation at the same address.
func (i Instance) SameIncarnation(other Instance) bool {
	return i.ID == other.ID && i.Addr == other.Addr && i.Service == other.Service && i.StartedAt.Equal(other.StartedAt)
}

// Roster is an immutable list of the instances that accept new requests.
type Roster struct {
	byService map[string][]Instance // sorted by ID
	count     int
}

// New returns a roster of the instances that are not draining.
func New(instances []Instance) *Roster {
	r := &Roster{byService: make(map[string][]Instance)}
	for _, i := range instances {
		if i.Draining {
			continue
		}
		r.byService[i.Service] = append(r.byService[i.Service], i)
		r.count++
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r
}

// Service returns the instances of a service, ordered by ID. The slice is shared and must not
// be modified.
func (r *Roster) Service(name string) []Instance { return r.byService[name] }

// Len returns the number of instances.
func (r *Roster) Len() int { return r.count }

// Instances returns all instances, ordered by service and ID.
func (r *Roster) Instances() []Instance {
	out := make([]Instance, 0, r.count)
	for _, list := range r.byService {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}
