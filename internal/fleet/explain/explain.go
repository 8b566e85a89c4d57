package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Request tells what became of the request with an id.
type Request struct {
	id       string
	lines    []line
	beliefs  []line
	machines map[string]*machine
}

// machine is what the log of one machine has told so far.
type machine struct {
	beliefs beliefs
	// then are the beliefs when the request's first line came; nil before.
	then beliefs
}

// Find reads the logs and collects what they say of the request.
//
// The error says that a log can not be read, or that the request is in none.
func Find(id string, logs []Log) (*Request, error) {
	r := &Request{id: id, machines: make(map[string]*machine)}
	for _, g := range logs {
		if err := g.read(r.take); err != nil {
			return nil, err
		}
	}
	if len(r.lines) == 0 {
		return nil, fmt.Errorf("request %q is in none of %d logs", id, len(logs))
	}
	slices.SortStableFunc(r.lines, byTime)
	for _, m := range r.machines {
		if m.then != nil {
			r.beliefs = append(r.beliefs, m.then.about(r.lines)...)
		}
	}
	slices.SortStableFunc(r.beliefs, byTime)
	return r, nil
}

// take looks at one line.
func (r *Request) take(l line) {
	m, ok := r.machines[l.machine]
	if !ok {
		m = &machine{beliefs: make(beliefs)}
		r.machines[l.machine] = m
	}
	if l.str("request_id") != r.id {
		m.beliefs.take(l)
		return
	}
	if m.then == nil {
		m.then = maps.Clone(m.beliefs)
	}
	r.lines = append(r.lines, l)
}

// Cause says in one sentence why the request ended as it did.
func (r *Request) Cause() string { return cause(r.lines) }

// WriteTo writes the beliefs in force, the request's lines and the cause.
func (r *Request) WriteTo(w io.Writer) (int64, error) {
	p := printer{w: w}
	p.printf("request %s\n\nwhat was believed when it came, with the time since it was learnt\n", r.id)
	for _, l := range r.beliefs {
		p.printf("  %8.1f s  %s %s\n", r.lines[0].at.Sub(l.at).Seconds(), l.machine, l.text)
	}
	p.printf("\nwhat was done\n")
	for _, l := range r.lines {
		p.printf("  %s  %s %s\n", l.at.Format("15:04:05.000"), l.machine, l.text)
	}
	p.printf("\ncause\n  %s\n", r.Cause())
	return p.n, p.err
}

// printer writes until the first error.
type printer struct {
	w   io.Writer
	n   int64
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
