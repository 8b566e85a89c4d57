package health

import "time"

const (
	defaultFirstToken   = 250 * time.Millisecond
	defaultTokenGap     = 62 * time.Millisecond
	defaultInitialLimit = 8
	defaultMinLimit     = 1
	defaultMaxLimit     = 512

	maxCutFactor     = 0.95                   // smallest cut, for a slightly slow target
	minCutFactor     = 0.7                    // largest cut, for a very slow target
	declineCutFactor = 0.7                    // of the outstanding requests at a decline
	initialGrowth    = 0.25                   // per good sample before the first cut
	minCutInterval   = 500 * time.Millisecond // time for a cut to take effect

	// minGrowthUse is the share of the limit that must be in use for the limit to grow. A
	// good sample below it does not show that the target could serve more requests.
	minGrowthUse = 0.8
)

// LimitConfig configures the bounds of a limit and the latencies above which a target is slow.
type LimitConfig struct {
	// FirstToken is the time to the first token above which a target counts as slow.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens above which a target counts as slow.
	TokenGap time.Duration
	// Initial is the limit of a new target.
	Initial int
	// MinLimit is the lower bound of the limit.
	MinLimit int
	// MaxLimit is the upper bound of the limit.
	MaxLimit int
	// Fixed disables adaptation, so that the limit stays at Initial.
	Fixed bool
}

// WithDefaults returns the configuration with each zero value replaced by its default.
func (c LimitConfig) WithDefaults() LimitConfig {
	if c.FirstToken == 0 {
		c.FirstToken = defaultFirstToken
	}
	if c.TokenGap == 0 {
		c.TokenGap = defaultTokenGap
	}
	if c.Initial == 0 {
		c.Initial = defaultInitialLimit
	}
	if c.MinLimit == 0 {
		c.MinLimit = defaultMinLimit
	}
	if c.MaxLimit == 0 {
		c.MaxLimit = defaultMaxLimit
	}
	return c
}

// Limit is an adaptive limit of the concurrent requests of a target, by additive
// increase and multiplicative decrease (AIMD). It grows quickly until the target is
// first slow or declines a request, and then by one per as many good samples as the
// limit allows requests. It shrinks by a factor that depends on how slow the target is.
type Limit struct {
	config  LimitConfig
	value   float64
	lastCut time.Time // zero until the first cut
}

// NewLimit returns a limit that starts at the initial value of the configuration.
func NewLimit(c LimitConfig) *Limit {
	c = c.WithDefaults()
	return &Limit{config: c, value: float64(c.Initial)}
}

// Value returns the number of concurrent requests allowed.
func (l *Limit) Value() int { return int(l.value) }

// ObserveFirstToken records the time that an urgent request waited for its first token.
func (l *Limit) ObserveFirstToken(now time.Time, d time.Duration, outstanding int) {
	l.sample(now, d, l.config.FirstToken, outstanding)
}

// ObserveTokenGap records the mean time between successive tokens of one answer.
func (l *Limit) ObserveTokenGap(now time.Time, d time.Duration, outstanding int) {
	l.sample(now, d, l.config.TokenGap, outstanding)
}

// ObserveDone records a complete answer, which counts as a good sample.
func (l *Limit) ObserveDone(now time.Time, outstanding int) { l.sample(now, 0, 0, outstanding) }

// ObserveDecline records a request that the target refused because it is full.
func (l *Limit) ObserveDecline(now time.Time, outstanding int) {
	l.cut(now, min(l.value, float64(outstanding))*declineCutFactor)
}

// sample adjusts the limit by a latency d and its goal. A slow sample does not count while
// more requests are outstanding than the limit allows, as after a cut.
func (l *Limit) sample(now time.Time, d, goal time.Duration, outstanding int) {
	switch {
	case d > goal && float64(outstanding) <= l.value:
		factor := float64(goal) / float64(d)
		l.cut(now, l.value*min(maxCutFactor, max(minCutFactor, factor)))
	case d <= goal && float64(outstanding) >= minGrowthUse*l.value:
		l.grow()
	}
}

// cut lowers the limit to newValue. It does nothing if the previous cut was so recent that it
// may not have taken effect yet.
func (l *Limit) cut(now time.Time, newValue float64) {
	if l.config.Fixed || !l.lastCut.IsZero() && now.Sub(l.lastCut) < minCutInterval {
		return
	}
	l.lastCut = now
	l.value = max(newValue, float64(l.config.MinLimit))
}

// grow raises the limit for one good sample.
func (l *Limit) grow() {
	if l.config.Fixed {
		return
	}
	step := initialGrowth
	if !l.lastCut.IsZero() {
		step = 1 / l.value
	}
	l.value = min(l.value+step, float64(l.config.MaxLimit))
}
