package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRouteByLongestPrefix(t *testing.T) {
	p := New(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		assertRoute(t, p, "a.example", path, want)
	}
	assertRoute(t, p, "b.example", "/x/y/1", "other")
	assertRoute(t, p, "a.example", "/x", "")
	assertRoute(t, p, "c.example", "/x/1", "")
}

func assertRoute(t *testing.T, p *Plan, host, path, want string) {
	t.Helper()
	r, ok := p.Route(host, path)
	assert.Equal(t, ok, want != "", path)
	if ok {
		assert.Equal(t, r.Name, want, path)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Splits: []Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, r.PickService(0), "a")
	assert.Equal(t, r.PickService(0.899), "a")
	assert.Equal(t, r.PickService(0.901), "b")
	assert.Equal(t, (&Route{}).PickService(0.5), "")
}

func TestKeys(t *testing.T) {
	p := New(Config{Workspaces: []Workspace{{Name: "joiners", Keys: []string{"k1", "k2"}}}})
	w, ok := p.WorkspaceByKey("k2")
	assert.Assert(t, ok)
	assert.Equal(t, w.Name, "joiners")
	_, ok = p.WorkspaceByKey("k3")
	assert.Assert(t, !ok)
	assert.Assert(t, p.RequiresKey())
	assert.Assert(t, !New(Config{}).RequiresKey())
}
