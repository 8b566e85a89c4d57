package queue

import (
	"cmp"
	"expvar"
	"slices"
	"time"
)

var (
	waitingRequests   = expvar.NewInt("queue_waiting")
	grantedRequests   = expvar.NewInt("queue_granted")
	refusedRequests   = expvar.NewInt("queue_refused")
	cancelledRequests = expvar.NewInt("queue_cancelled")
	urgentWaits       = expvar.NewMap("queue_wait_urgent")
	longWaits         = expvar.NewMap("queue_wait_long")
)

// waitBuckets are the upper bounds of the wait histograms' buckets.
var waitBuckets = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
}

// observeWait adds the wait of a granted request to the histogram of its class.
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
	// Name is "model" or "service", a space and the name.
	Name string `json:"name"`
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting"`
	// TokensPerSlot is the estimated throughput of one slot, in tokens per second.
	TokensPerSlot float64 `json:"tokens_per_place_s"`
	// Workspaces lists the workspaces with waiting requests, ordered by name.
	Workspaces []WorkspaceState `json:"workspaces,omitempty"`
}

// WorkspaceState describes one workspace's waiting requests in a queue.
type WorkspaceState struct {
	Workspace string `json:"workspace"`
	// Weight is the workspace's share relative to the others.
	Weight float64 `json:"weight"`
	// Urgent is the number of waiting urgent requests.
	Urgent int `json:"urgent"`
	// Long is the number of waiting long requests.
	Long int `json:"long"`
	// VirtualTimeLead is the workspace's virtual time less that of the queue: the tokens
	// granted beyond its share, divided by its weight.
	VirtualTimeLead float64 `json:"lead"`
}

// State returns a snapshot of each queue, ordered by name.
func (q *Queues) State() []State {
	q.mu.RLock()
	defer q.mu.RUnlock()
	out := make([]State, 0, len(q.byName))
	for _, entry := range q.byName {
		out = append(out, entry.state())
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (q *queue) state() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate, _ := q.turnover.estimate(1)
	s := State{Name: q.name, Waiting: q.waiting, TokensPerSlot: rate}
	for _, f := range q.flows {
		if f.idle() {
			continue
		}
		s.Workspaces = append(s.Workspaces, WorkspaceState{
			Workspace:       f.workspace,
			Weight:          f.weight,
			Urgent:          f.urgent.Len(),
			Long:            f.long.Len(),
			VirtualTimeLead: f.virtualTime - q.virtualTime,
		})
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceState) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return s
}
