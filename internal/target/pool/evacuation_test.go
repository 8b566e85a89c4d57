package pool

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEvacuatedDomainGetsNoNewWork guards against new requests to targets of evacuated failure domains; those that run go
// on.
func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	targets := engines(2)
	targets[0].FailureDomain, targets[1].FailureDomain = "fd-1", "fd-2"
	p := &Pool{}
	p.SetTargets(targets)
	stream, err := p.Reserve(Requirements{Model: "oak", Urgent: true, Exclude: map[string]bool{targets[1].Addr: true}})
	assert.NilError(t, err)
	p.SetEvacuated(map[string]bool{"fd-1": true})
	assert.DeepEqual(t, countReservations(t, p, 20), map[string]int{targets[1].Addr: 20})
	stream.Release()
	t.Run("also after new targets", func(t *testing.T) {
		p.SetTargets(targets)
		assert.DeepEqual(t, countReservations(t, p, 20), map[string]int{targets[1].Addr: 20})
	})
	t.Run("all", func(t *testing.T) {
		p.SetEvacuated(map[string]bool{"fd-1": true, "fd-2": true})
		_, err := p.Reserve(requirements)
		assert.ErrorIs(t, err, ErrNoTarget)
	})
	t.Run("taken back", func(t *testing.T) {
		p.SetEvacuated(nil)
		assert.Equal(t, len(countReservations(t, p, 40)), 2)
	})
}
