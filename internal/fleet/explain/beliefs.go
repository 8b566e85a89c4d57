package explain

import (
	"slices"
	"strings"
)

// beliefs are the newest lines of one machine about each thing that its decisions
// depend on.
type beliefs map[string]line

// take replaces what the line makes outdated; a new life of the process believes nothing.
func (b beliefs) take(l line) {
	if l.event == "process_started" {
		clear(b)
	}
	if subject := subjectOf(l); subject != "" {
		b[subject] = l
	}
}

// subjectOf names what the line is about; it is empty for lines about one request.
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

// about returns the lines that bear on a request with such lines, oldest first.
func (b beliefs) about(request []line) []line {
	wanted := map[string]bool{"process": true, "plan": true, "tokens": true}
	for _, l := range request {
		if workspace := l.str("workspace"); workspace != "" {
			wanted["tokens "+workspace] = true
		}
		if instance := l.str("instance"); instance != "" {
			wanted["target "+instance] = true
			wanted["health "+instance] = true
		}
	}
	var out []line
	for subject, l := range b {
		store := strings.HasPrefix(subject, "store ")
		peerAway := l.event == "peer_suspected" || l.event == "peer_lost"
		if wanted[subject] || store || peerAway {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, byTime)
	return out
}

func byTime(a, b line) int { return a.at.Compare(b.at) }
