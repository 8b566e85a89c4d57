package queue

import (
	"cmp"
	"expvar"
	"slices"
	"time"
)

var (
	waitingNow  = expvar.NewInt("queue_waiting")
	granted     = expvar.NewInt("queue_granted")
	refused     = expvar.NewInt("queue_refused")
	cancelled   = expvar.NewInt("queue_cancelled")
	urgentWaits = expvar.NewMap("queue_wait_urgent")
	longWaits   = expvar.NewMap("queue_wait_long")
)

// waitBuckets are the upper bounds of the buckets of observed waits.
var waitBuckets = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
}

// observeWait counts a wait that ended with a place.
func observeWait(urgent bool, d time.Duration) {
	waits := longWaits
	if urgent {
		waits = urgentWaits
	}
	for _, b := range waitBuckets {
		if d <= b {
			waits.Add("le_"+b.String(), 1)
			return
		}
	}
	waits.Add("more", 1)
}

// State describes one queue for the process's state dump.
type State struct {
	Name       string      `json:"name"`
	Waiting    int         `json:"waiting"`
	Places     float64     `json:"tokens_per_place_s"`
	Workspaces []FlowState `json:"workspaces,omitempty"`
}

// FlowState describes what one workspace waits for.
type FlowState struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	Urgent    int     `json:"urgent"`
	Long      int     `json:"long"`
	// Lead is how far the workspace is ahead of its share, in tokens by weight.
	Lead float64 `json:"lead"`
}

// State returns the queues as they are now, ordered by name.
func (q *Queues) State() []State {
	q.mu.RLock()
	defer q.mu.RUnlock()
	out := make([]State, 0, len(q.lines))
	for _, l := range q.lines {
		out = append(out, l.state())
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (q *line) state() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate, _ := q.speed.perPlace(1)
	s := State{Name: q.name, Waiting: q.waiting, Places: rate}
	for _, f := range q.flows {
		if f.idle() {
			continue
		}
		s.Workspaces = append(s.Workspaces, FlowState{
			Workspace: f.name,
			Weight:    f.weight,
			Urgent:    f.urgent.Len(),
			Long:      f.long.Len(),
			Lead:      f.virtual - q.virtual,
		})
	}
	slices.SortFunc(s.Workspaces, func(a, b FlowState) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return s
}
