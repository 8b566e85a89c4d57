package roster

import (
	"cmp"
	"slices"
	"time"
)

// Instance is one lifetime of a target.
type Instance struct {
	// ID names the instance; an instance that starts again may keep it.
	ID string
	// Service is the service that the instance belongs to.
	Service string
	// Addr is the IP address and port; it may be used again by another instance.
	Addr string
	// FailureDomain is where the instance stands.
	FailureDomain string
	// Capacity is the number of requests that it runs at once.
	Capacity int
	// Draining tells that it leaves and takes no new requests.
	Draining bool
	// Born is when this lifetime began, by the instance's clock; it orders the
	// lifetimes of one ID.
	Born time.Time
}

// SameLife reports whether two entries describe the same lifetime at the same address.
func (i Instance) SameLife(other Instance) bool {
	return i.ID == other.ID && i.Addr == other.Addr && i.Service == other.Service && i.Born.Equal(other.Born)
}

// Roster lists the instances that take new requests.
type Roster struct {
	byService map[string][]Instance // sorted by ID
	count     int
}

// New returns the roster of those instances that are not draining.
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

// Service returns the instances of a service, ordered by ID. The slice is shared.
func (r *Roster) Service(name string) []Instance { return r.byService[name] }

// Len returns the number of instances.
func (r *Roster) Len() int { return r.count }

// Instances returns all instances, by service and ID.
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
