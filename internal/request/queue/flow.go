package queue

import "container/list"

// flow holds the waiting requests of one workspace in one queue and its
// fair-queueing state. Its virtual time advances by the tokens of each granted
// request divided by the workspace's weight.
type flow struct {
	workspace     string
	weight        float64
	virtualTime   float64
	longCredit    float64   // tokens of long requests that may be granted before urgent ones of the same workspace
	urgent        list.List // of *waiter
	long          list.List // of *waiter
	urgentBacklog float64   // tokens of the waiting urgent requests
	longBacklog   float64   // tokens of the waiting long requests
}

// idle reports whether the workspace has no waiting requests.
func (f *flow) idle() bool { return f.urgent.Len() == 0 && f.long.Len() == 0 }

// class returns the list of the urgent or the long waiters.
func (f *flow) class(urgent bool) *list.List {
	if urgent {
		return &f.urgent
	}
	return &f.long
}

// addBacklog adds tokens, which may be negative, to the backlog of the class.
func (f *flow) addBacklog(urgent bool, tokens float64) {
	if urgent {
		f.urgentBacklog += tokens
		return
	}
	f.longBacklog += tokens
}

// add appends a waiter to its class, a retry at the front.
func (f *flow) add(w *waiter) {
	class := f.class(w.request.Demand.Urgent)
	if w.request.retry() {
		w.element = class.PushFront(w)
	} else {
		w.element = class.PushBack(w)
	}
	f.addBacklog(w.request.Demand.Urgent, w.cost)
}

// remove removes a waiter from its class.
func (f *flow) remove(w *waiter) {
	f.class(w.request.Demand.Urgent).Remove(w.element)
	w.element = nil
	f.addBacklog(w.request.Demand.Urgent, -w.cost)
}

// heads returns the first waiter of each class with the tag that FairOrder compares.
//
// The order is borrowed virtual time: the tag of an urgent request is the flow's
// virtual time less headStart tokens by weight. A workspace that stays within its share
// therefore never waits behind long requests, and one that exceeds its share by
// more than headStart gains nothing. Within the workspace, a long request precedes the
// urgent ones once longCredit covers its cost.
func (f *flow) heads(headStart float64) []Candidate {
	var out []Candidate
	urgentTag := f.virtualTime - headStart/f.weight
	if e := f.urgent.Front(); e != nil {
		out = append(out, Candidate{w: e.Value.(*waiter), f: f, tag: urgentTag})
	}
	if e := f.long.Front(); e != nil {
		w := e.Value.(*waiter)
		tag := f.virtualTime
		if f.urgent.Len() > 0 && f.longCredit >= w.cost {
			tag = urgentTag - 1
		}
		out = append(out, Candidate{w: w, f: f, tag: tag})
	}
	return out
}

// charge advances the virtual time by the cost of a granted waiter and updates
// longCredit: urgent grants earn credit while long requests wait, so that these
// get longShare of the workspace's tokens, and long grants spend it.
func (f *flow) charge(w *waiter, longShare float64) {
	f.virtualTime += w.cost / f.weight
	switch {
	case !w.request.Demand.Urgent:
		f.longCredit = max(0, f.longCredit-w.cost)
	case f.long.Len() > 0:
		f.longCredit += w.cost * longShare / (1 - longShare)
	default:
		f.longCredit = 0
	}
}
