package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a verdict does not change from run to run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !given(name) {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
