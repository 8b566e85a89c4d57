package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestStaysInItsHomes(t *testing.T) {
	p, evacuated := newDomainPlacement(t, 3)
	home := func(domain string) bool { return domain == "d-1" }
	for part := range uint64(20) {
		r := sharedPartRequirements(part)
		r.Allowed = home
		assert.Equal(t, choose(t, p, r).ID(), "i-1")
	}
	t.Run("second attempt", func(t *testing.T) {
		_, err := p.Choose(t.Context(), writer, Requirements{Allowed: home, Exclude: []string{"i-1"}})
		assert.ErrorIs(t, err, ErrNoInstance)
	})
	t.Run("no home has an instance", func(t *testing.T) {
		_, err := p.Choose(t.Context(), writer, Requirements{Allowed: func(string) bool { return false }})
		assert.ErrorIs(t, err, ErrNotAllowed)
		assert.ErrorIs(t, err, ErrNoInstance)
	})
	t.Run("all homes are evacuated", func(t *testing.T) {
		evacuated["d-1"] = true
		_, err := p.Choose(t.Context(), writer, Requirements{Allowed: home})
		assert.ErrorIs(t, err, ErrEvacuated)
	})
}
