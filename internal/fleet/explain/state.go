package explain

import (
	"slices"
	"strings"
)

// routerState is the state of one router as far as its log shows it: the most recent line for
// each subject that its decisions depend on, such as the plan, a store table or an instance.
type routerState map[string]line

// update replaces the line that l supersedes. A new process starts without any state.
func (s routerState) update(l line) {
	if l.event == "process_started" {
		clear(s)
	}
	if subject := subjectOf(l); subject != "" {
		s[subject] = l
	}
}

// subjectOf returns the subject of a line, or "" for lines that concern one request or name no
// component.
func subjectOf(l line) string {
	switch component := l.str("component"); component {
	case "requests", "":
		return ""
	case "process", "plan":
		return component
	case "store":
		return "store " + l.str("table")
	case "peers":
		return "peer " + l.str("peer")
	case "targets":
		if parts := l.str("parts"); parts != "" && l.event != "target_crashed" {
			return "block " + parts
		}
		if l.event == "target_cold" || l.event == "target_warm" {
			return "warmth " + l.str("instance")
		}
		if strings.HasPrefix(l.event, "target_ejected") || strings.HasPrefix(l.event, "target_readmitted") {
			return "health " + l.str("instance")
		}
		return "target " + l.str("instance")
	default:
		if workspace := l.str("workspace"); workspace != "" {
			return component + " " + workspace
		}
		return component
	}
}

// relevantTo returns the lines of the state that can have influenced the request, oldest first.
func (s routerState) relevantTo(request []line) []line {
	relevant := map[string]bool{"process": true, "plan": true, "tokens": true}
	for _, l := range request {
		if workspace := l.str("workspace"); workspace != "" {
			relevant["tokens "+workspace] = true
		}
		if instance := l.str("instance"); instance != "" {
			relevant["target "+instance] = true
			relevant["health "+instance] = true
			relevant["warmth "+instance] = true
		}
	}
	var out []line
	for subject, l := range s {
		isStore := strings.HasPrefix(subject, "store ")
		peerUnreachable := l.event == "peer_suspected" || l.event == "peer_lost"
		ofAll := strings.HasPrefix(subject, "block ") && refusedWith(request, "prompt_blocked") ||
			l.event == "target_cold" && refusedWith(request, "targets_cold")
		if relevant[subject] || isStore || peerUnreachable || ofAll {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, byTime)
	return out
}

// refusedWith reports whether the router refused the request with the code.
func refusedWith(request []line, code string) bool {
	last, ok := lastOf(request, "request_refused")
	return ok && last.str("code") == code
}

func byTime(a, b line) int { return a.at.Compare(b.at) }
