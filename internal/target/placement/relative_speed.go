package placement

import (
	"math"
	"time"
)

const (
	// relativePriorWeight is the weight, in answers, of the assumption that an instance is as
	// fast as the others of its service.
	relativePriorWeight = 4.0
	// relativeDecay is the factor by which each new answer reduces the weight of earlier ones, so
	// that an instance which turns slow is known as slow after a few answers.
	relativeDecay = 0.95
	// maxRelativeDelay bounds the relative delay and its inverse, also that of a single answer:
	// one that hung shows little about the engine.
	maxRelativeDelay = 2.5
)

// relativeDelay estimates how long one instance takes for its work compared with the mean of its
// service, as the geometric mean over its answers. Its zero value is an instance without answers.
type relativeDelay struct {
	logSum, weight float64
}

// observe records that the instance took took for work that takes the service's mean engine
// expected.
func (d *relativeDelay) observe(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	bound := math.Log(maxRelativeDelay)
	sample := math.Log(float64(took) / float64(expected))
	d.logSum = relativeDecay*d.logSum + min(max(sample, -bound), bound)
	d.weight = relativeDecay*d.weight + 1
}

// value returns the relative delay: 1 for an instance as fast as the mean of its service, and more
// for a slower one.
func (d *relativeDelay) value() float64 {
	return math.Exp(d.logSum / (d.weight + relativePriorWeight))
}
