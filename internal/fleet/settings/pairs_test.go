package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPairs(t *testing.T) {
	s, err := load(t, "[router]\nregions = a-1:a, b-1:b,\n")
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Router.Regions, map[string]string{"a-1": "a", "b-1": "b"})
	for _, text := range []string{"a", "a:", ":a"} {
		_, err := load(t, "[router]\nregions = "+text+"\n")
		assert.ErrorContains(t, err, "is not a pair NAME:VALUE")
	}
}
