package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// helpTopic is the help of one command.
type helpTopic struct {
	keyword string // first word of the command
	summary string
	syntax  []string // lines with its syntax and examples
}

var helpTopics = []helpTopic{
	{"show", "lists, filters and orders what there is", []string{
		`show KIND [where COLUMN = VALUE [and ...]] [sort [by] COLUMN [asc|desc]] [limit N]`,
		`show budgets where workspace = "veneer" and remaining < 10000 sort remaining limit 5`,
		`show holdings in doubt`,
		`KIND: ` + showKinds,
		`comparisons: = != < > <= >=`,
	}},
	{"create", "makes a workspace, budget, model, service, target or operator", []string{
		`create workspace "gorenjska" key "KEY" [weight 2] [max_concurrent N] [max_tokens N]`,
		`create workspace "gorenjska" key "KEY" [requests_per_minute N] [tokens_per_minute N]`,
		`create budget "flitch-2026" workspace "gorenjska" tokens 5000000`,
		`create service "stock" [tokens_per_call 1] [idempotent "GET /lookup, POST /search"]`,
		`create target "10.0.0.9:8000" models "demo" [failure_domain "fd-1"] [capacity N] [checks_fencing true]`,
		`create target "10.0.0.8:8000" service "stock"`,
		`create model "demo" max_tokens 4096`,
		`create operator "ana" role "read|operate|administer" key "KEY"`,
	}},
	{"set", "changes what was created; other settings stay", []string{
		`set workspace "gorenjska" weight = 3`,
		`set service "stock" route "POST /reserve" idempotent = false`,
		`set target "10.0.0.9:8000" capacity = 32 if version 17`,
	}},
	{"delete", "removes what was created, except budgets", []string{`delete KIND "NAME" [if version N]`}},
	{"top", "adds tokens to a budget", []string{`top up budget "flitch-2026" workspace "gorenjska" by 200000`}},
	{"drain", "gives a target or a VM no new work", []string{`drain target "10.0.0.9:8000"`, `drain vm "10.0.0.7"`}},
	{"undrain", "gives a target or a VM work again", []string{`undrain target "10.0.0.9:8000"`, `undrain vm "10.0.0.7"`}},
	{"evacuate", "gives the targets of a failure domain no new work", []string{`evacuate "fd-1"`, `show evacuations`}},
	{"restore", "gives the targets of a failure domain work again", []string{`restore "fd-1"`}},
	{"order", "tells a target to do something", []string{`order target "10.0.0.9:8000" "load oak"`}},
	{"release", "gives a holding in doubt back to its budget, or frees a target whose router is gone", []string{
		`release holding "HOLDING" confirmed`,
		`release target "10.0.0.9:8000" confirmed`,
	}},
	{"rotate", "gives a new key; the old one stays valid for a while", []string{
		`rotate key workspace "gorenjska" key "NEW KEY" [keep "24h"]`,
		`rotate key operator "ana" key "NEW KEY" [keep "0s"]`,
	}},
	{"cancel", "ends a request in flight", []string{`cancel request "ID"`}},
	{"explain", "tells the whole path of a request", []string{`explain request "ID"`}},
	{"usage", "sums the tokens used", []string{`usage`, `usage workspace "gorenjska"`}},
	{"help", "tells the commands", []string{`help`, `help COMMAND`}},
}

// Keywords returns the keywords with which a command can begin.
func Keywords() []string {
	keywords := make([]string, len(helpTopics))
	for i, t := range helpTopics {
		keywords[i] = t.keyword
	}
	return keywords
}

// help returns the summaries of all commands, or the summary and the syntax of one.
func help(s *HelpStatement) (Result, error) {
	var lines []string
	for _, t := range helpTopics {
		if s.Command == "" {
			lines = append(lines, fmt.Sprintf("%-8s  %s", t.keyword, t.summary))
		}
		if s.Command == t.keyword {
			lines = append([]string{t.summary}, t.syntax...)
		}
	}
	if lines == nil {
		return Result{}, errUnknownName(lexer.Position{Line: 1, Column: len("help ") + 1}, "command", s.Command, strings.Join(Keywords(), ", "))
	}
	return Result{Message: strings.Join(lines, "\n")}, nil
}

// IsDestructive reports whether the effect of a command can not be undone.
func IsDestructive(text string) bool {
	s, err := Parse(text)
	if err != nil {
		return false
	}
	return s.Delete != nil || s.Release != nil || s.Cancel != nil
}
