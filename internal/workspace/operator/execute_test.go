package operator

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/standin/platform"
	"rosevalve/internal/workspace/catalogue"
)

const (
	testKey  = "a-key-of-enough-characters"
	otherKey = "another-key-of-enough-characters"
)

var administrator = catalogue.Operator{Name: "ana", Role: catalogue.RoleAdminister}

// fixture is an Executor with its own in-memory table.
type fixture struct {
	*Executor
	loseReplies  bool // commits take effect, but return table.ErrUnknownOutcome
	commandCount int  // for unique command ids
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := platform.NewStore()
	f := &fixture{}
	commit := func(_ context.Context, c table.Commit) (uint64, error) {
		version, err := store.Commit(c)
		if err == nil && f.loseReplies {
			return 0, table.ErrUnknownOutcome
		}
		return version, err
	}
	get := func(_ context.Context, keys ...string) ([]table.Row, error) { return store.Get(keys), nil }
	scan := func(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
		return store.Scan(prefix, after, limit), nil
	}
	f.Executor = &Executor{
		Catalogue: &catalogue.Catalogue{Commit: commit, Get: get, Scan: scan},
		Ledger:    &ledger.Ledger{Holder: "r1", Commit: commit, Get: get, Scan: scan},
	}
	return f
}

// execute runs a command as an administrator, with a new command id.
func (f *fixture) execute(text string) (Result, error) {
	f.commandCount++
	return f.Execute(context.Background(), administrator, Request{Command: text, CommandID: fmt.Sprintf("c%d", f.commandCount)})
}

// mustExecute fails the test unless every command succeeds.
func mustExecute(t *testing.T, f *fixture, commands ...string) {
	t.Helper()
	for _, text := range commands {
		_, err := f.execute(text)
		assert.NilError(t, err, text)
	}
}

// assertRefused fails the test unless the command is refused with an error that contains want.
func assertRefused(t *testing.T, f *fixture, text, want string) {
	t.Helper()
	_, err := f.execute(text)
	assert.ErrorContains(t, err, want)
}

// assertRows runs a show command and compares the first column of its rows.
func assertRows(t *testing.T, f *fixture, text string, want ...string) {
	t.Helper()
	r, err := f.execute(text)
	assert.NilError(t, err, text)
	got := make([]string, len(r.Rows))
	for i, row := range r.Rows {
		got[i] = row[0].String()
	}
	assert.DeepEqual(t, got, append([]string{}, want...))
}

// newConfiguredFixture returns a fixture with an item of each kind and a budget.
func newConfiguredFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	mustExecute(t, f,
		`create workspace "veneer" key "`+testKey+`" weight 2`,
		`create workspace "care" key "`+otherKey+`" weight = 5, max_concurrent = 8`,
		`create service "stock" idempotent "GET /lookup, POST /search"`,
		`create target "10.0.0.8:8000" service "stock" capacity 4`,
		`create target "10.0.0.9:8000" models "oak,walnut" checks_fencing true`,
		`create model "beech" max_tokens 4096`,
		`create operator "ben" role "read" key "a-third-key-of-enough-characters"`,
		`create budget "flitch-2026" workspace "veneer" tokens 5000`,
	)
	return f
}

func TestShow(t *testing.T) {
	f := newConfiguredFixture(t)
	assertRows(t, f, `show workspaces`, "care", "veneer")
	assertRows(t, f, `show workspaces where weight > 2`, "care")
	assertRows(t, f, `show workspaces where name != "care" and weight <= 2`, "veneer")
	assertRows(t, f, `show workspaces sort by weight asc limit 1`, "veneer")
	assertRows(t, f, `show workspaces sort weight desc`, "care", "veneer")
	assertRows(t, f, `show models`, "beech", "oak", "walnut")
	assertRows(t, f, `show targets where checks_fencing = true`, "10.0.0.9:8000")
	assertRows(t, f, `show services where idempotent = true`, "stock", "stock")
	assertRows(t, f, `show operators`, "ben")
	assertRows(t, f, `show budgets where remaining < 5001`, "veneer")
}

func TestChanges(t *testing.T) {
	t.Run("set keeps the other settings", func(t *testing.T) {
		f := newConfiguredFixture(t)
		mustExecute(t, f, `set workspace "care" requests_per_minute 600, tokens_per_minute = 90000`)
		assertRows(t, f, `show workspaces where requests_per_minute = 600 and tokens_per_minute = 90000`, "care")
		assertRefused(t, f, `set workspace "care" requests_per_minute -1`, "requests_per_minute")
		mustExecute(t, f, `set workspace "care" weight 7`, `set service "stock" route "POST /reserve" idempotent = false`)
		w, _ := f.Catalogue.Current().Workspace("care")
		assert.Equal(t, w.Weight, int64(7))
		assert.Equal(t, w.MaxConcurrent, int64(8))
		v, _ := f.Catalogue.Current().Service("stock")
		assert.Assert(t, v.Idempotent("POST", "/search") && !v.Idempotent("POST", "/reserve"))
	})
	t.Run("drain and undrain a target", func(t *testing.T) {
		f := newConfiguredFixture(t)
		mustExecute(t, f, `drain target "10.0.0.9:8000"`)
		assertRows(t, f, `show targets where leaving = true`, "10.0.0.9:8000")
		mustExecute(t, f, `undrain target "10.0.0.9:8000"`)
		assertRows(t, f, `show targets where leaving = true`)
	})
	t.Run("drain and undrain the targets of a VM", func(t *testing.T) {
		f := newConfiguredFixture(t)
		mustExecute(t, f, `create target "10.0.0.9:8001" models "oak"`, `drain vm "10.0.0.9"`)
		assertRows(t, f, `show targets where leaving = true`, "10.0.0.9:8000", "10.0.0.9:8001")
		mustExecute(t, f, `undrain vm "10.0.0.9"`)
		assertRows(t, f, `show targets where leaving = true`)
		assertRefused(t, f, `drain vm "10.0.0.7"`, `vm "10.0.0.7" has no target`)
	})
	t.Run("both keys are valid after a rotation", func(t *testing.T) {
		f := newConfiguredFixture(t)
		mustExecute(t, f, `rotate key workspace "veneer" key "a-fourth-key-of-enough-characters" keep "1h"`)
		for _, key := range []string{testKey, "a-fourth-key-of-enough-characters"} {
			w, ok := f.Catalogue.Current().WorkspaceByKey(key)
			assert.Assert(t, ok && w.Name == "veneer")
		}
	})
	t.Run("delete", func(t *testing.T) {
		f := newConfiguredFixture(t)
		assertRefused(t, f, `delete service "stock"`, `is run by target "10.0.0.8:8000"`)
		mustExecute(t, f, `delete target "10.0.0.8:8000"`, `delete service "stock"`)
		assertRows(t, f, `show services`)
	})
}

func TestRefusals(t *testing.T) {
	f := newConfiguredFixture(t)
	before := f.Catalogue.Current().Version()
	for text, want := range map[string]string{
		`create workspace "veneer" key "a-fifth-key-of-enough-characters"`: `workspace "veneer" exists already`,
		`create workspace "x"`:                                     `needs a key`,
		`create workspace "x" key "short"`:                         `fewer than 16`,
		`create workspace "x" key "` + testKey + `"`:               `in use already`,
		`set workspace "veneer" weight 0`:                          `"weight" is not a number from 1`,
		`set workspace "veneer" wieght 3`:                          `setting "wieght" does not exist`,
		`set workspace "veneer" weight 3 weight 4`:                 `given twice`,
		`set workspace "beech" weight 3`:                           `does not exist`,
		`create target "stock-host" service "stock"`:               `not an IP address and a port`,
		`create target "10.0.0.1:1" service "stok"`:                `service "stok" does not exist`,
		`create target "10.0.0.1:1"`:                               `either models or a service`,
		`set service "stock" route "reserve" idempotent false`:     `not a method and a path`,
		`create operator "eve" role "root" key "` + testKey + `x"`: `role "root" does not exist`,
		`create budget "b" workspace "nobody" tokens 5`:            `workspace "nobody" does not exist`,
		`top up budget "flitch-2026" workspace "veneer" by -5`:     `not a number of tokens`,
		`show workspaces where wait = 3`:                           `column "wait" does not exist`,
		`show workspaces where weight = "2"`:                       `holds values of kind number`,
		`show things`:                                              `list "things" does not exist`,
		`release holding "h"`:                                      `does not know`,
	} {
		assertRefused(t, f, text, want)
	}
	assert.Equal(t, f.Catalogue.Current().Version(), before)
}

func TestErrorPointsAtPlace(t *testing.T) {
	f := newConfiguredFixture(t)
	_, err := f.execute(`show budgets whre workspace = "veneer"`)
	assert.Error(t, err, "column 14: unexpected token \"whre\"\n"+
		"  show budgets whre workspace = \"veneer\"\n"+
		"               ^")
	_, err = f.execute(`set workspace "veneer" weight "two"`)
	assert.Error(t, err, "column 31: value of \"weight\" is not a number from 1 to 1000\n"+
		"  set workspace \"veneer\" weight \"two\"\n"+
		"                                ^")
}

// TestRepeatedCommand repeats a command whose first commits took effect without a reply.
// The retry must return the first version, and must not bring back a workspace that
// was deleted in between.
func TestRepeatedCommand(t *testing.T) {
	f := newConfiguredFixture(t)
	req := Request{Command: `set workspace "veneer" weight 9`, CommandID: "repeated"}
	f.loseReplies = true
	first, err := f.Execute(t.Context(), administrator, req)
	assert.NilError(t, err)
	f.loseReplies = false
	mustExecute(t, f, `delete workspace "veneer"`)
	second, err := f.Execute(t.Context(), administrator, req)
	assert.NilError(t, err)
	assert.Equal(t, first.Version, second.Version)
	_, exists := f.Catalogue.Current().Workspace("veneer")
	assert.Assert(t, !exists)
}

func TestReusedCommandID(t *testing.T) {
	f := newConfiguredFixture(t)
	_, err := f.Execute(t.Context(), administrator, Request{Command: `set workspace "veneer" weight 9`, CommandID: "c1"})
	assert.ErrorContains(t, err, "was used for another command")
}

func TestRacedCommandTellsDifference(t *testing.T) {
	f := newConfiguredFixture(t)
	version := f.Catalogue.Current().Version()
	mustExecute(t, f, `set workspace "veneer" weight 9`)
	_, err := f.execute(fmt.Sprintf(`set workspace "veneer" weight 4 if version %d`, version))
	var raced *catalogue.VersionConflictError
	assert.Assert(t, errors.As(err, &raced))
	assert.ErrorContains(t, err, `by ana: set workspace "veneer" weight 9`)
}

func TestOrders(t *testing.T) {
	f := newConfiguredFixture(t)
	assertRefused(t, f, `order target "10.0.0.9:8000" "load oak"`, "does not know how to give orders")
	var calls []string
	f.SendOrder = func(_ context.Context, target string, checksFencing bool, action string) error {
		calls = append(calls, fmt.Sprint(target, checksFencing, action))
		return nil
	}
	f.ReleaseTarget = func(_ context.Context, target string) error {
		calls = append(calls, "released "+target)
		return nil
	}
	mustExecute(t, f, `order target "10.0.0.9:8000" "load oak"`, `release target "10.0.0.9:8000" confirmed`)
	assertRefused(t, f, `order target "10.0.0.1:1" "load oak"`, "does not exist")
	assertRefused(t, f, `release target "10.0.0.9:8000"`, "add: confirmed")
	assert.DeepEqual(t, calls, []string{"10.0.0.9:8000trueload oak", "released 10.0.0.9:8000"})
}

func TestRoles(t *testing.T) {
	f := newConfiguredFixture(t)
	for _, tc := range []struct {
		text     string
		required catalogue.Role
	}{
		{`show workspaces`, catalogue.RoleRead},
		{`drain target "10.0.0.9:8000"`, catalogue.RoleOperate},
		{`set workspace "veneer" weight 3`, catalogue.RoleAdminister},
	} {
		for role := catalogue.RoleRead; role <= catalogue.RoleAdminister; role++ {
			f.commandCount++
			caller := catalogue.Operator{Name: "ben", Role: role}
			_, err := f.Execute(t.Context(), caller, Request{Command: tc.text, CommandID: fmt.Sprintf("c%d", f.commandCount)})
			assert.Equal(t, errors.Is(err, ErrNotAllowed), role < tc.required, "%s as %s", tc.text, role)
		}
	}
}

func TestAuditTrail(t *testing.T) {
	f := newConfiguredFixture(t)
	mustExecute(t, f, `top up budget "flitch-2026" workspace "veneer" by 200`)
	assertRefused(t, f, `top up budget "flitch" workspace "veneer" by 200`, "budget")
	r, err := f.execute(`show commands where operator = "ana"`)
	assert.NilError(t, err)
	var rows []string
	for _, row := range r.Rows {
		rows = append(rows, fmt.Sprint(row))
	}
	text := strings.Join(rows, "\n")
	assert.Assert(t, strings.Contains(text, `create workspace "veneer" key "***" weight 2`), text)
	assert.Assert(t, strings.Contains(text, `by 200`), text)
	assert.Assert(t, !strings.Contains(text, testKey))
	assert.Equal(t, len(r.Rows), 10)
}

func TestRedact(t *testing.T) {
	assert.Equal(t, Redact(`rotate key workspace "w" key = "secret" keep "1h"`), `rotate key workspace "w" key = "***" keep "1h"`)
	assert.Equal(t, Redact(`create workspace "w" key "secret`), redactedKey)
}

func TestHelpAndCompletion(t *testing.T) {
	f := newFixture(t)
	r, err := f.execute(`help`)
	assert.NilError(t, err)
	for _, word := range Keywords() {
		assert.Assert(t, strings.Contains(r.Message, word))
		_, err := f.execute("help " + word)
		assert.NilError(t, err)
	}
	assertRefused(t, f, `help me`, `command "me" does not exist`)
	assert.DeepEqual(t, Complete("sh"), []string{"show"})
	assert.DeepEqual(t, Complete("show wo"), []string{"workspaces"})
}

// TestHelpFormsParse checks that the parser accepts the commands shown in the help. It
// skips lines with placeholders for kinds, optional parts or alternatives.
func TestHelpFormsParse(t *testing.T) {
	for _, topic := range helpTopics {
		for _, line := range topic.syntax {
			if strings.ContainsAny(line, "[|") || !strings.HasPrefix(line, topic.keyword) || strings.Contains(line, "KIND") {
				continue
			}
			_, err := Parse(line)
			assert.NilError(t, err, line)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, topic := range helpTopics {
		for _, line := range topic.syntax {
			f.Add(line)
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse(text)
		var positionErr *PositionError
		if err != nil && !errors.As(err, &positionErr) {
			t.Fatalf("error is not a *PositionError: %v", err)
		}
		if err != nil && (positionErr.Column < 1 || strings.Contains(positionErr.Line, "\n")) {
			t.Fatalf("position is not within a line of the command: %+v", positionErr)
		}
		_ = Redact(text)
		_ = Complete(text)
		_ = IsDestructive(text)
	})
}
