package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/protocol/inner"
)

// TestDirectoryLogger checks that a change of the named routers is logged once, with what the view holds.
func TestDirectoryLogger(t *testing.T) {
	view := []inner.Member{
		{InnerAddr: "a", Ready: true},
		{InnerAddr: "b", Ready: true, Busy: true},
		{InnerAddr: "c", State: inner.Suspect},
	}
	var l directoryLogger
	var events []eventlog.Event
	var last []any
	update := func(named []inner.Member) {
		l.update("a", named, view, func(ev eventlog.Event, pairs ...any) {
			events = append(events, ev)
			last = pairs
		})
	}
	update(view[:1])
	assert.DeepEqual(t, last, []any{"named", 1, "names_self", true, "alive", 2, "suspected", 1, "ready", 2, "busy", 1})
	update(view[:1])
	assert.Equal(t, len(events), 1)
	update(view[1:2]) // as many, but no longer itself
	assert.DeepEqual(t, events, []eventlog.Event{eventlog.DirectoryChanged, eventlog.DirectoryChanged})
}
