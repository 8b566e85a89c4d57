package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets rapid's seed, unless a flag gives one, so that the result does not
// change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !isSet(name) {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// isSet reports whether the flag was set on the command line.
func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
