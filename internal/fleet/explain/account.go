package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Account states for each process how it obtained and spent tokens of one workspace.
type Account struct {
	workspace string
	prepaid   int64                      // the largest prepaid total in the logs, in tokens
	processes []*processAccount          // in the order of their first lines
	current   map[string]*processAccount // the most recent process of each VM, by name
}

// processAccount sums what one process did with tokens of the workspace.
type processAccount struct {
	incarnation string // ID of the process; the VM's name if the log does not show its start
	started     time.Time
	ended       time.Time // when it wrote its last line; zero unless another process followed

	// Tokens drawn from the store, received from and sent to other routers, used by requests,
	// returned or passed on when the process stopped, and recovered from earlier processes.
	drawn, received, sent, used, returned, recovered int64
	reservations                                     map[string]int64 // tokens by id of a request in flight
}

// unused returns the tokens that the process obtained and neither used, passed on nor has
// reserved for requests in flight.
func (p *processAccount) unused() int64 {
	return p.drawn + p.received - p.sent - p.used - p.returned - p.reserved()
}

// reserved returns the tokens reserved for requests in flight.
func (p *processAccount) reserved() int64 {
	var n int64
	for _, tokens := range p.reservations {
		n += tokens
	}
	return n
}

// ReadAccount reads the logs and accounts for the tokens of the workspace. It returns an error
// if a log cannot be read or if no log mentions the workspace.
func ReadAccount(workspace string, logs []Log) (*Account, error) {
	a := &Account{workspace: workspace, current: make(map[string]*processAccount)}
	lastSeen := make(map[string]time.Time) // time of the most recent line by VM
	found := false
	for _, log := range logs {
		err := log.read(func(l line) {
			if l.event == "process_started" {
				a.startProcess(l, lastSeen[l.vm])
			}
			lastSeen[l.vm] = l.at
			if l.str("workspace") == workspace {
				found = true
				a.record(l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if !found {
		return nil, fmt.Errorf("workspace %q is in none of %d logs", workspace, len(logs))
	}
	return a, nil
}

// startProcess adds the process that l starts and ends the previous process of the VM, whose
// last line was written at lastSeen.
func (a *Account) startProcess(l line, lastSeen time.Time) {
	if previous := a.current[l.vm]; previous != nil {
		previous.ended = lastSeen
	}
	a.addProcess(l, l.str("life"))
}

func (a *Account) addProcess(l line, incarnation string) *processAccount {
	p := &processAccount{incarnation: incarnation, started: l.at, reservations: make(map[string]int64)}
	a.current[l.vm] = p
	a.processes = append(a.processes, p)
	return p
}

// record adds a line that concerns the workspace to the account of its process.
func (a *Account) record(l line) {
	p := a.current[l.vm]
	if p == nil {
		// The log starts later than the process, so that its incarnation ID is unknown.
		p = a.addProcess(l, l.vm)
	}
	a.prepaid = max(a.prepaid, l.num("prepaid_tokens"))
	tokens := l.num("tokens")
	switch l.event {
	case "tokens_drawn":
		p.drawn += tokens
	case "gift_taken":
		p.received += tokens
	case "gift_given":
		p.sent += tokens
	case "holding_returned", "holding_passed_on":
		p.returned += tokens
	case "former_holding_closed":
		p.recovered += tokens
	case "attempt_sent":
		p.reservations[l.str("request_id")] = l.num("reserved_tokens")
	case "request_answered", "request_abandoned", "answer_broken", "request_cut_off":
		p.used += l.num("used_tokens")
		delete(p.reservations, l.str("request_id"))
	case "request_refused":
		delete(p.reservations, l.str("request_id"))
	}
}

// WriteTo writes a table with one row for each process that had tokens, and the sums of all
// processes. It returns the number of bytes written.
func (a *Account) WriteTo(w io.Writer) (int64, error) {
	out := printer{w: w}
	out.printf("workspace %s, prepaid %d\n\n", a.workspace, a.prepaid)
	// The column names are kept for existing readers of the table: taken and given are the tokens
	// received and sent, open the reserved and left the unused ones.
	out.printf("%-32s %-12s %-12s %9s %9s %9s %9s %9s %9s %9s %9s\n",
		"life", "began", "ended", "drawn", "taken", "given", "used", "returned", "open", "left", "recovered")
	slices.SortStableFunc(a.processes, func(x, y *processAccount) int { return cmp.Compare(x.incarnation, y.incarnation) })
	var used, heldAtEnd, recovered int64
	for _, p := range a.processes {
		used += p.used
		recovered += p.recovered
		if !p.ended.IsZero() {
			heldAtEnd += p.unused() + p.reserved()
		}
		if p.drawn == 0 && p.received == 0 && p.recovered == 0 {
			continue
		}
		ended := "-"
		if !p.ended.IsZero() {
			ended = p.ended.Format(timeFormat)
		}
		out.printf("%-32s %-12s %-12s %9d %9d %9d %9d %9d %9d %9d %9d\n",
			p.incarnation, p.started.Format(timeFormat), ended, p.drawn, p.received, p.sent, p.used, p.returned, p.reserved(), p.unused(), p.recovered)
	}
	out.printf("\nused according to answers    %d, %.1f%% of prepaid\n", used, percent(used, a.prepaid))
	out.printf("held by ended processes      %d, of which %d were recovered by later processes\n", heldAtEnd, recovered)
	out.printf("lost or used in flight       %d, %.1f%% of prepaid\n", heldAtEnd-recovered, percent(heldAtEnd-recovered, a.prepaid))
	return out.n, out.err
}

// percent returns n as a percentage of total, or 0 if total is 0.
func percent(n, total int64) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(n) / float64(total)
}
