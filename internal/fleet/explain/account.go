package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Account tells where the tokens of a workspace went, by the lives that have drawn them.
type Account struct {
	workspace string
	prepaid   int64 // the largest total that a log names
	lives     []*lifeAccount
	current   map[string]*lifeAccount // by machine
}

// lifeAccount is what one process has done with tokens of the workspace.
type lifeAccount struct {
	life  string
	began time.Time
	ended time.Time // its last line, if another process came after it

	drawn, taken, given, used, returned, recovered int64
	inFlight                                       map[string]int64 // reserved tokens by request
}

// left returns what the life had and has neither used nor handed on, without what its open
// requests may use.
func (l *lifeAccount) left() int64 {
	return l.drawn + l.taken - l.given - l.used - l.returned - l.open()
}

// open returns what the requests in flight have reserved.
func (l *lifeAccount) open() int64 {
	var n int64
	for _, tokens := range l.inFlight {
		n += tokens
	}
	return n
}

// Settle reads the logs and accounts for the tokens of a workspace.
//
// The error says that a log can not be read, or that none names the workspace.
func Settle(workspace string, logs []Log) (*Account, error) {
	a := &Account{workspace: workspace, current: make(map[string]*lifeAccount)}
	last := make(map[string]time.Time)
	named := false
	for _, g := range logs {
		err := g.read(func(l line) {
			if l.event == "process_started" {
				a.begin(l, last[l.machine])
			}
			last[l.machine] = l.at
			if l.str("workspace") == workspace {
				named = true
				a.take(l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	if !named {
		return nil, fmt.Errorf("workspace %q is in none of %d logs", workspace, len(logs))
	}
	return a, nil
}

// begin notes a new life of a machine's router, whose last line before came at a time.
func (a *Account) begin(l line, before time.Time) {
	if old := a.current[l.machine]; old != nil {
		old.ended = before
	}
	a.add(l, l.str("life"))
}

func (a *Account) add(l line, life string) *lifeAccount {
	n := &lifeAccount{life: life, began: l.at, inFlight: make(map[string]int64)}
	a.current[l.machine] = n
	a.lives = append(a.lives, n)
	return n
}

// take looks at a line about the workspace.
func (a *Account) take(l line) {
	n := a.current[l.machine]
	if n == nil {
		// The log begins after the process.
		n = a.add(l, l.machine)
	}
	a.prepaid = max(a.prepaid, l.num("prepaid_tokens"))
	tokens := l.num("tokens")
	switch l.event {
	case "tokens_drawn":
		n.drawn += tokens
	case "gift_taken":
		n.taken += tokens
	case "gift_given":
		n.given += tokens
	case "holding_returned", "holding_passed_on":
		n.returned += tokens
	case "former_holding_closed":
		n.recovered += tokens
	case "attempt_sent":
		n.inFlight[l.str("request_id")] = l.num("reserved_tokens")
	case "request_answered", "request_abandoned", "answer_broken":
		n.used += l.num("used_tokens")
		delete(n.inFlight, l.str("request_id"))
	case "request_refused":
		delete(n.inFlight, l.str("request_id"))
	}
}

// WriteTo writes a line for each life that had tokens, and the sums.
func (a *Account) WriteTo(w io.Writer) (int64, error) {
	p := printer{w: w}
	p.printf("workspace %s, prepaid %d\n\n", a.workspace, a.prepaid)
	p.printf("%-32s %-12s %-12s %9s %9s %9s %9s %9s %9s %9s %9s\n",
		"life", "began", "ended", "drawn", "taken", "given", "used", "returned", "open", "left", "recovered")
	slices.SortStableFunc(a.lives, func(x, y *lifeAccount) int { return cmp.Compare(x.life, y.life) })
	var used, lost, recovered int64
	for _, n := range a.lives {
		used += n.used
		recovered += n.recovered
		if !n.ended.IsZero() {
			lost += n.left() + n.open()
		}
		if n.drawn == 0 && n.taken == 0 && n.recovered == 0 {
			continue
		}
		ended := "-"
		if !n.ended.IsZero() {
			ended = n.ended.Format(clock)
		}
		p.printf("%-32s %-12s %-12s %9d %9d %9d %9d %9d %9d %9d %9d\n",
			n.life, n.began.Format(clock), ended, n.drawn, n.taken, n.given, n.used, n.returned, n.open(), n.left(), n.recovered)
	}
	p.printf("\nused as far as answers tell  %d, %.1f%% of prepaid\n", used, percent(used, a.prepaid))
	p.printf("held by lives that ended     %d, of which %d came back to their next lives\n", lost, recovered)
	p.printf("out of reach or in answers   %d, %.1f%% of prepaid\n", lost-recovered, percent(lost-recovered, a.prepaid))
	return p.n, p.err
}

func percent(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return 100 * float64(n) / float64(of)
}
