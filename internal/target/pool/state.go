package pool

import (
	"cmp"
	"expvar"
	"slices"
	"time"
)

// ejections counts the ejections of all targets.
var ejections = expvar.NewInt("target_ejections")

// State is the state of one target in the state dump of the process.
type State struct {
	Addr            string   `json:"addr"`
	Models          []string `json:"models,omitempty"`
	Service         string   `json:"service,omitempty"`
	Outstanding     int      `json:"outstanding"`
	OutstandingLong int      `json:"long"`
	Tokens          int64    `json:"tokens"`
	Limit           int      `json:"limit"`
	Breaker         string   `json:"breaker"`
	Ejections       int64    `json:"ejections"`
	Silent          bool     `json:"silent"`
	Leaving         bool     `json:"leaving"`
	VMLeaving       bool     `json:"vm_leaving"`
	Evacuated       bool     `json:"evacuated,omitempty"`
	OtherRequests   int      `json:"others_hint"`
	InSubset        bool     `json:"in_subset"`
}

// State returns the current state of all targets, ordered by address.
func (p *Pool) State() []State {
	current := p.current()
	inSubset := make(map[*target]bool)
	for _, group := range []map[string][]*target{current.byModel, current.byService} {
		for _, targets := range group {
			for _, t := range targets {
				inSubset[t] = true
			}
		}
	}
	out := make([]State, 0, len(current.all))
	for _, t := range current.all {
		s := t.state(time.Now())
		s.InSubset = inSubset[t]
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// state returns the current state of the target, without InSubset.
func (t *target) state(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Addr:            t.addr,
		Models:          t.info.Models,
		Service:         t.info.Service,
		Outstanding:     t.outstanding,
		OutstandingLong: t.outstandingLong,
		Tokens:          t.outstandingTokens,
		Limit:           t.limit.Value(),
		Breaker:         t.breaker.State().String(),
		Ejections:       t.breaker.Ejections(),
		Silent:          t.progress.Silent(now, t.outstanding),
		Leaving:         t.info.Leaving,
		VMLeaving:       t.vmLeaving,
		Evacuated:       t.evacuated,
		OtherRequests:   t.hint.otherRequests,
	}
}
