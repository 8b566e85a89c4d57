package operator

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/workspace/catalogue"
)

// newDomainsFixture returns a fixture with targets in two failure domains.
func newDomainsFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	mustExecute(t, f,
		`create target "10.0.0.1:80" models "oak" failure_domain "fd-1"`,
		`create target "10.0.0.2:80" models "oak" failure_domain "fd-2"`,
	)
	return f
}

func TestEvacuate(t *testing.T) {
	f := newDomainsFixture(t)
	mustExecute(t, f, `evacuate "fd-1"`)
	assertRows(t, f, `show evacuations`, "fd-1")
	assert.Assert(t, f.Catalogue.Current().Evacuated("fd-1"))
	t.Run("again", func(t *testing.T) { mustExecute(t, f, `evacuate "fd-1"`) })
	t.Run("a second one", func(t *testing.T) {
		mustExecute(t, f, `evacuate "fd-2"`)
		assertRows(t, f, `show evacuations`, "fd-1", "fd-2")
	})
	t.Run("restored", func(t *testing.T) {
		mustExecute(t, f, `restore "fd-1"`)
		assertRows(t, f, `show evacuations`, "fd-2")
		assert.Assert(t, !f.Catalogue.Current().Evacuated("fd-1"))
	})
}

func TestEvacuateRefusals(t *testing.T) {
	f := newDomainsFixture(t)
	assertRefused(t, f, `evacuate "fd-9"`, `no target is in failure domain "fd-9"`)
	assertRefused(t, f, `evacuate ""`, `no target is in failure domain ""`)
	assertRefused(t, f, `restore "fd-1"`, `failure domain "fd-1" is not evacuated`)
	assertRefused(t, f, `create evacuation "fd-1"`, `kind "evacuation"`)
	assertRefused(t, f, `delete evacuation "fd-1"`, `kind "evacuation"`)
	t.Run("restored although its targets are gone", func(t *testing.T) {
		mustExecute(t, f, `evacuate "fd-1"`, `delete target "10.0.0.1:80"`, `restore "fd-1"`)
	})
	t.Run("role read", func(t *testing.T) {
		reader := catalogue.Operator{Name: "ben", Role: catalogue.RoleRead}
		_, err := f.Execute(context.Background(), reader, Request{Command: `evacuate "fd-2"`, CommandID: "x"})
		assert.Assert(t, errors.Is(err, ErrNotAllowed))
	})
	t.Run("help", func(t *testing.T) {
		for _, command := range []string{"evacuate", "restore"} {
			r, err := f.execute("help " + command)
			assert.NilError(t, err)
			assert.Assert(t, r.Message != "")
		}
	})
}
