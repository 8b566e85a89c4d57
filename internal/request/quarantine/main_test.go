package quarantine

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of cases of rapid, unless they are given.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
