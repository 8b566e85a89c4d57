package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHomes(t *testing.T) {
	for _, test := range []struct {
		name             string
		route, workspace []string
		anonymous        bool
		allowed          []string
	}{
		{name: "none", allowed: []string{"a", "b", "c", ""}},
		{name: "of the route", route: []string{"a"}, allowed: []string{"a"}},
		{name: "of the route, anonymous", route: []string{"a", "b"}, anonymous: true, allowed: []string{"a", "b"}},
		{name: "of the workspace", workspace: []string{"b"}, allowed: []string{"b"}},
		{name: "both bind", route: []string{"a", "b"}, workspace: []string{"b", "c"}, allowed: []string{"b"}},
		{name: "nothing in common", route: []string{"a"}, workspace: []string{"b"}},
		{name: "without a name", route: []string{""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &Workspace{HomeRegions: test.workspace}
			if test.anonymous {
				w = nil
			}
			h := HomesOf(&Route{HomeRegions: test.route}, w)
			var got []string
			for _, region := range []string{"a", "b", "c", ""} {
				if h.Allow(region) {
					got = append(got, region)
				}
			}
			assert.DeepEqual(t, got, test.allowed)
		})
	}
}

func TestHasHomes(t *testing.T) {
	assert.Assert(t, !New(Config{Routes: []Route{{}}, Workspaces: []Workspace{{}}}).HasHomes())
	assert.Assert(t, New(Config{Routes: []Route{{}, {HomeRegions: []string{"a"}}}}).HasHomes())
	assert.Assert(t, New(Config{Workspaces: []Workspace{{HomeRegions: []string{"a"}}}}).HasHomes())
}
