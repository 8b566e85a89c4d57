package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rosevalve/internal/protocol/inner"
)

//go:generate ../../../bin/stringer -type=Kind -linecomment

// rollbackGrace is how long an evacuation stays in force that a rolled-back store lacks. The operator, whose change the
// store has lost, has that time to write it again.
const rollbackGrace = 10 * time.Second

// Change is what a new version of the operator's row says about a failure domain.
type Change struct {
	// Domain is the name of the failure domain.
	Domain string
	// Evacuated is set if the domain is to be evacuated; the evacuation is taken back otherwise.
	Evacuated bool
	// Era and Version are those of the row in the store, or of its removal.
	Era, Version uint64
	// AfterRollback is set if the change comes from a store that was rolled back to an older copy.
	AfterRollback bool
}

// Kind is the kind of a transition.
type Kind int

// The kinds of transitions.
const (
	// Began means that nothing more may be sent to the targets of the domain.
	Began Kind = iota // began
	// Rewritten means that the operator has written the row of an evacuation again.
	Rewritten // rewritten
	// Missing means that a rolled-back store lacks the row; the evacuation stays in force for some time.
	Missing // missing
	// Ended means that the targets of the domain may be used again.
	Ended // ended
)

// Transition is a change of the evacuations in force.
type Transition struct {
	// Kind is the kind of the transition.
	Kind Kind
	// Domain is the name of the failure domain.
	Domain string
	// Version is that of the row which caused the transition.
	Version uint64
}

// Evacuation is one evacuation in force.
type Evacuation struct {
	// Domain is the name of the failure domain, and Version that of the operator's row.
	Domain  string `json:"failure_domain"`
	Version uint64 `json:"row_version"`
	// Until is when it ends by itself, since a rolled-back store lacks its row; zero if it does not.
	Until time.Time `json:"until,omitzero"`
}

// Set is the set of evacuations in force. Its zero value is empty and ready for use.
type Set struct {
	mu      sync.Mutex                            // guards the writing of the fields below
	inForce atomic.Pointer[map[string]Evacuation] // by domain; nil before the first one, and never changed
	latest  atomic.Pointer[inner.TablePosition]   // of the newest change; nil before the first one
}

// Contains reports whether a failure domain is evacuated.
func (s *Set) Contains(domain string) bool {
	in := s.inForce.Load()
	if in == nil || len(*in) == 0 {
		return false
	}
	_, ok := (*in)[domain]
	return ok
}

// List returns the evacuations in force, ordered by domain.
func (s *Set) List() []Evacuation {
	in := s.inForce.Load()
	if in == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(*in), func(a, b Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
}

// Latest returns the position of the newest change, which is zero before the first one.
func (s *Set) Latest() inner.TablePosition {
	if p := s.latest.Load(); p != nil {
		return *p
	}
	return inner.TablePosition{}
}

// Apply puts changes in force, which must be in the order of their versions and newer than those before, and returns the
// transitions.
func (s *Set) Apply(changes []Change, now time.Time) []Transition {
	var out []Transition
	s.update(func(in map[string]Evacuation) {
		for _, c := range changes {
			if t, ok := apply(in, c, now); ok {
				out = append(out, t)
			}
			s.latest.Store(&inner.TablePosition{Era: c.Era, Version: c.Version})
		}
	})
	return out
}

// Expire ends the evacuations that end by themselves, and returns the transitions.
func (s *Set) Expire(now time.Time) []Transition {
	isOver := func(e Evacuation) bool { return !e.Until.IsZero() && !now.Before(e.Until) }
	if !slices.ContainsFunc(s.List(), isOver) {
		return nil
	}
	var out []Transition
	s.update(func(in map[string]Evacuation) {
		for domain, e := range in {
			if isOver(e) {
				delete(in, domain)
				out = append(out, Transition{Kind: Ended, Domain: domain, Version: e.Version})
			}
		}
	})
	return out
}

// update replaces the evacuations in force by a changed copy.
func (s *Set) update(change func(in map[string]Evacuation)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]Evacuation)
	if in := s.inForce.Load(); in != nil {
		maps.Copy(next, *in)
	}
	change(next)
	s.inForce.Store(&next)
}

// apply applies one change and returns the transition, if there is one.
func apply(in map[string]Evacuation, c Change, now time.Time) (Transition, bool) {
	t := Transition{Domain: c.Domain, Version: c.Version}
	old, ok := in[c.Domain]
	switch {
	case c.Evacuated:
		if ok {
			t.Kind = Rewritten
		}
		in[c.Domain] = Evacuation{Domain: c.Domain, Version: c.Version}
	case !ok:
		return t, false
	case c.AfterRollback:
		t.Kind = Missing
		old.Until = now.Add(rollbackGrace)
		in[c.Domain] = old
	default:
		t.Kind = Ended
		delete(in, c.Domain)
	}
	return t, true
}
