package head

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// moduleRoot is the root of the module.
const moduleRoot = "../../.."

// readsAnswers matches code with which a package reads answers itself: a client of its own, the library's default client,
// or the reading of single answers.
var readsAnswers = regexp.MustCompile(`fasthttp\.(Host|Pipeline)?Client\{|\sfasthttp\.Client\n|fasthttp\.(Do|Get|Post)\w*\(|\.ReadLimitBody\(|http\.ReadResponse\(|\bhttp\.(Client|Transport)\{`)

// TestEveryReaderOfAnswersChecksHeads guards against a package that reads answers past this one.
func TestEveryReaderOfAnswersChecksHeads(t *testing.T) {
	readers, checked := make(map[string]bool), make(map[string]bool)
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			pkg := filepath.Dir(path)
			readers[pkg] = readers[pkg] || readsAnswers.Match(text)
			checked[pkg] = checked[pkg] || strings.Contains(string(text), `"rosevalve/internal/protocol/head"`)
			return err
		})
		assert.NilError(t, err)
	}
	found := 0
	for pkg, reads := range readers {
		if reads {
			found++
			assert.Check(t, checked[pkg], "package %s reads answers whose heads are not checked", pkg)
		}
	}
	assert.Assert(t, found > 0)
}
