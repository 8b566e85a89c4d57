package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"gotest.tools/v3/assert"
)

// load returns the settings of an INI file with the text, with args on the command line.
func load(t *testing.T, text string, args ...string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "router.ini")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	f := NewFlags("router")
	assert.NilError(t, ff.Parse(f.FlagSet(), append(args, "--config", file), f.ParseOptions()...))
	return f.Settings()
}

func TestDefaultsAreValid(t *testing.T) {
	_, err := load(t, "")
	assert.NilError(t, err)
}

func TestFlagsBeforeEnvironmentBeforeFile(t *testing.T) {
	const iniText = "[router]\nentry_max_age = 11s\ndrain_limit = 12s\nregion = from-file\n"
	t.Setenv("ROSEVALVE_ROUTER_ENTRY_MAX_AGE", "21s")
	t.Setenv("ROSEVALVE_ROUTER_DRAIN_LIMIT", "22s")
	s, err := load(t, iniText, "--router.entry_max_age", "31s")
	assert.NilError(t, err)
	assert.Equal(t, s.Router.EntryMaxAge, 31*time.Second)
	assert.Equal(t, s.Router.DrainTimeout, 22*time.Second)
	assert.Equal(t, s.Router.Region, "from-file")
}

func TestAllProblemsAtOnce(t *testing.T) {
	_, err := load(t, "[router]\nlisten = nowhere\nlissen = 1\ndrain_limit = 1s\ndrain_limit = 2s\n[rooter]\nlisten = 1\n[log]\nlevel = loud\n")
	var problems *ProblemsError
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems.Problems), 5, err.Error())
	for _, want := range []string{
		"router.ini",
		`section [router], key "listen": value "nowhere": not an IP address and a port; allowed: an IP address and a port`,
		`section [router], key "lissen" does not exist`,
		`section [router], key "drain_limit" is given twice`,
		`section [rooter] does not exist`,
		`section [log], key "level": value "loud"`,
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), err.Error())
	}
}

func TestSecretsAreNotShown(t *testing.T) {
	_, err := load(t, "[operator]\nkey = my secret\n")
	assert.ErrorContains(t, err, `section [operator], key "key": value "***"`)
}

func TestEachOptionIsDescribed(t *testing.T) {
	var s Settings
	seen := make(map[string]bool)
	for _, o := range s.Options() {
		assert.Assert(t, o.Doc() != "" && o.Allowed() != "", o.Name())
		assert.Assert(t, !seen[o.Name()], "option %s is defined twice", o.Name())
		seen[o.Name()] = true
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	var want bytes.Buffer
	assert.NilError(t, WriteReference(&want))
	got, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String(), "docs/CONFIGURATION.md is stale: run make generate")
}

// TestBoundsOfColdTargets checks that the bounds may be empty, as on sites that do not name them.
func TestBoundsOfColdTargets(t *testing.T) {
	for text, want := range map[string][2]float64{
		"": {1.5, 5},
		"[edge]\ncold_overshoot =\ncold_slack =\n":     {1.5, 5},
		"[edge]\ncold_overshoot = 2\ncold_slack = 0\n": {2, 0},
	} {
		s, err := load(t, text)
		assert.NilError(t, err)
		assert.Equal(t, [2]float64{s.Edge.ColdOvershoot, s.Edge.ColdSlack}, want)
	}
	for _, wrong := range []string{"-1", "NaN", "many"} {
		_, err := load(t, "[edge]\ncold_slack = "+wrong+"\n")
		assert.ErrorContains(t, err, "cold_slack")
	}
}
