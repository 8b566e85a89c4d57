package queue

import "container/list"

// flow is the share of one workspace in one queue. Its virtual time is the tokens
// that the workspace was granted, divided by its weight.
type flow struct {
	name    string
	weight  float64
	virtual float64
	credit  float64 // tokens that long requests may take before urgent ones of the same workspace
	urgent  list.List
	long    list.List
	// backlogs are the tokens of the waiting requests.
	urgentBacklog float64
	longBacklog   float64
}

func (f *flow) idle() bool { return f.urgent.Len() == 0 && f.long.Len() == 0 }

func (f *flow) class(urgent bool) *list.List {
	if urgent {
		return &f.urgent
	}
	return &f.long
}

func (f *flow) addBacklog(urgent bool, tokens float64) {
	if urgent {
		f.urgentBacklog += tokens
		return
	}
	f.longBacklog += tokens
}

// add appends a waiter; one that was sent to a target before goes first.
func (f *flow) add(w *waiter) {
	class := f.class(w.ticket.Demand.Urgent)
	if w.ticket.retry() {
		w.element = class.PushFront(w)
	} else {
		w.element = class.PushBack(w)
	}
	f.addBacklog(w.ticket.Demand.Urgent, w.cost)
}

func (f *flow) remove(w *waiter) {
	f.class(w.ticket.Demand.Urgent).Remove(w.element)
	w.element = nil
	f.addBacklog(w.ticket.Demand.Urgent, -w.cost)
}

// heads returns the first waiter of each class with its tag.
//
// Urgent requests have a head start of warp over the virtual times of other
// workspaces, so a workspace that stays within its share never waits behind long
// work, and one that exceeds it by more than warp gains nothing (borrowed
// virtual time). Within the workspace a long request goes first once the credit
// covers it.
func (f *flow) heads(warp float64) []Waiting {
	var out []Waiting
	early := f.virtual - warp/f.weight
	if e := f.urgent.Front(); e != nil {
		out = append(out, Waiting{w: e.Value.(*waiter), f: f, tag: early})
	}
	if e := f.long.Front(); e != nil {
		w := e.Value.(*waiter)
		tag := f.virtual
		if f.urgent.Len() > 0 && f.credit >= w.cost {
			tag = early - 1
		}
		out = append(out, Waiting{w: w, f: f, tag: tag})
	}
	return out
}

// charge takes in that a waiter of the workspace was granted a place.
func (f *flow) charge(w *waiter, longShare float64) {
	f.virtual += w.cost / f.weight
	switch {
	case !w.ticket.Demand.Urgent:
		f.credit = max(0, f.credit-w.cost)
	case f.long.Len() > 0:
		f.credit += w.cost * longShare / (1 - longShare)
	default:
		f.credit = 0
	}
}
