package health

import "time"

const (
	defaultFirstToken = 250 * time.Millisecond
	defaultTokenGap   = 62 * time.Millisecond
	defaultInitial    = 8
	defaultLeast      = 1
	defaultMost       = 512

	mildestCut     = 0.95
	hardestCut     = 0.7
	declineFactor  = 0.7
	firstGrowth    = 0.25 // for each good sample until the first cut
	cutInterval    = 500 * time.Millisecond
	growthUseShare = 0.8 // a limit that is not reached tells nothing, so it does not grow
)

// Goals bound a learnt limit and say what counts as slow.
type Goals struct {
	// FirstToken is the time to the first token above which a target is slow.
	FirstToken time.Duration
	// TokenGap is the time between two tokens above which a target is slow.
	TokenGap time.Duration
	// Initial is the limit of a target that nothing is known about.
	Initial int
	// Least is the smallest limit.
	Least int
	// Most is the largest limit.
	Most int
	// Fixed switches learning off, so that the limit stays at Initial.
	Fixed bool
}

// WithDefaults returns the goals with each zero replaced by its default.
func (g Goals) WithDefaults() Goals {
	if g.FirstToken == 0 {
		g.FirstToken = defaultFirstToken
	}
	if g.TokenGap == 0 {
		g.TokenGap = defaultTokenGap
	}
	if g.Initial == 0 {
		g.Initial = defaultInitial
	}
	if g.Least == 0 {
		g.Least = defaultLeast
	}
	if g.Most == 0 {
		g.Most = defaultMost
	}
	return g
}

// Limit is the number of requests that a target is given at a time. It grows
// quickly until the target is first slow or declines, and then by one for each
// round of good samples; it shrinks by a factor that follows how slow the target
// is (AIMD).
type Limit struct {
	goals   Goals
	value   float64
	lastCut time.Time // zero until the first cut
}

// NewLimit returns the limit of a target that nothing is known about.
func NewLimit(g Goals) *Limit {
	g = g.WithDefaults()
	return &Limit{goals: g, value: float64(g.Initial)}
}

// Value returns the number of requests allowed at a time.
func (l *Limit) Value() int { return int(l.value) }

// FirstToken takes in the time that an urgent request waited for its first token.
func (l *Limit) FirstToken(now time.Time, d time.Duration, outstanding int) {
	l.sample(now, d, l.goals.FirstToken, outstanding)
}

// TokenGap takes in the mean time between tokens of one run.
func (l *Limit) TokenGap(now time.Time, d time.Duration, outstanding int) {
	l.sample(now, d, l.goals.TokenGap, outstanding)
}

// Done takes in an answer that came whole.
func (l *Limit) Done(now time.Time, outstanding int) { l.sample(now, 0, 0, outstanding) }

// Declined takes in a request that the target refused because it is full.
func (l *Limit) Declined(now time.Time, outstanding int) {
	l.cut(now, min(l.value, float64(outstanding))*declineFactor)
}

func (l *Limit) sample(now time.Time, d, goal time.Duration, outstanding int) {
	switch {
	case d > goal && float64(outstanding) <= l.value:
		factor := float64(goal) / float64(d)
		l.cut(now, l.value*min(mildestCut, max(hardestCut, factor)))
	case d <= goal && float64(outstanding) >= growthUseShare*l.value:
		l.grow()
	}
}

// cut lowers the limit, but only once until an earlier cut can have taken effect.
func (l *Limit) cut(now time.Time, to float64) {
	if l.goals.Fixed || !l.lastCut.IsZero() && now.Sub(l.lastCut) < cutInterval {
		return
	}
	l.lastCut = now
	l.value = max(to, float64(l.goals.Least))
}

func (l *Limit) grow() {
	if l.goals.Fixed {
		return
	}
	step := firstGrowth
	if !l.lastCut.IsZero() {
		step = 1 / l.value
	}
	l.value = min(l.value+step, float64(l.goals.Most))
}
