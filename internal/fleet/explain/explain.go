package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Request is the history of one request, collected from logs.
type Request struct {
	id    string
	lines []line                // of the request, oldest first
	state []line                // the routers' state when the request arrived, oldest first
	vms   map[string]*vmHistory // by name of the VM
}

// vmHistory is what the log lines of one VM that were read so far show.
type vmHistory struct {
	state routerState
	// atArrival is the state at the request's first line on the VM; nil before that line.
	atArrival routerState
	// restart is the first process_started line after the request's first line; nil if there
	// is no such line.
	restart *line
	// last is the most recent line.
	last      line
	downtimes []downtime
}

// downtime is the time from the last line of a process to the start of the next one on the
// same VM.
type downtime struct{ from, to time.Time }

// FindRequest reads the logs and returns the history of the request with the id. It returns an
// error if a log cannot be read or if no log contains the request.
func FindRequest(id string, logs []Log) (*Request, error) {
	r := &Request{id: id, vms: make(map[string]*vmHistory)}
	for _, log := range logs {
		if err := log.read(r.observe); err != nil {
			return nil, err
		}
	}
	if len(r.lines) == 0 {
		return nil, fmt.Errorf("request %q is in none of %d logs, so it reached no router or its lines were dropped; %s", id, len(logs), r.describeDowntimes())
	}
	slices.SortStableFunc(r.lines, byTime)
	for _, vm := range r.vms {
		if vm.atArrival != nil {
			r.state = append(r.state, vm.atArrival.relevantTo(r.lines)...)
		}
	}
	slices.SortStableFunc(r.state, byTime)
	return r, nil
}

// observe adds a line to the request or to the state of its router.
func (r *Request) observe(l line) {
	vm, ok := r.vms[l.vm]
	if !ok {
		vm = &vmHistory{state: make(routerState)}
		r.vms[l.vm] = vm
	}
	vm.trackProcess(l)
	if l.str("request_id") != r.id {
		vm.state.update(l)
		return
	}
	if vm.atArrival == nil {
		vm.atArrival = maps.Clone(vm.state)
	}
	r.lines = append(r.lines, l)
}

// trackProcess records downtimes and the restart after the request.
func (h *vmHistory) trackProcess(l line) {
	started := l.event == "process_started"
	if started && !h.last.at.IsZero() {
		h.downtimes = append(h.downtimes, downtime{from: h.last.at, to: l.at})
	}
	if started && h.atArrival != nil && h.restart == nil {
		h.restart = &l
	}
	h.last = l
}

// describeDowntimes lists the times in which no process logged anything before a restart.
// Callers could not connect in these times.
func (r *Request) describeDowntimes() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		for _, d := range r.vms[name].downtimes {
			parts = append(parts, fmt.Sprintf("%s from %s to %s", name, d.from.Format(timeFormat), d.to.Format(timeFormat)))
		}
	}
	if len(parts) == 0 {
		return "the logs show no process restart"
	}
	return "no process was logging on " + strings.Join(parts, ", ")
}

// timeFormat is the layout of the times that are printed.
const timeFormat = "15:04:05.000"

// Cause returns one sentence that explains the outcome of the request.
func (r *Request) Cause() string {
	last := r.lines[len(r.lines)-1]
	if text, ok := cause(r.lines); ok {
		return text
	}
	if restart := r.vms[last.vm].restart; restart != nil {
		return fmt.Sprintf("The process on %s ended while the request was open, after its line %s; the next process started at %s.",
			last.vm, last.event, restart.at.Format(timeFormat))
	}
	return fmt.Sprintf("The log of %s does not contain the end of this request; its last line is %s, so the process ended or the line was dropped.", last.vm, last.event)
}

// WriteTo writes the routers' state when the request arrived, the request's lines and the cause.
// It returns the number of bytes written.
func (r *Request) WriteTo(w io.Writer) (int64, error) {
	p := printer{w: w}
	p.printf("request %s\n\nknown state when the request arrived, with the age of each line\n", r.id)
	for _, l := range r.state {
		p.printf("  %8.1f s  %s %s\n", r.lines[0].at.Sub(l.at).Seconds(), l.vm, l.text)
	}
	p.printf("\nevents of the request\n")
	for _, l := range r.lines {
		p.printf("  %s  %s %s\n", l.at.Format(timeFormat), l.vm, l.text)
	}
	p.printf("\ncause\n  %s\n", r.Cause())
	return p.n, p.err
}

// printer writes formatted text to w and does nothing after the first error.
type printer struct {
	w   io.Writer
	n   int64 // bytes written
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	n, err := fmt.Fprintf(p.w, format, args...)
	p.n += int64(n)
	if err != nil {
		p.err = fmt.Errorf("write explanation: %w", err)
	}
}
