package catalogue

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of cases for rapid, unless flags set them, so that
// every run tests the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261", "rapid.checks": fmt.Sprint(testCases)}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
