package demand

import (
	"math"
	"time"

	"rosevalve/internal/budget/amount"
)

// DefaultHorizon is the default period whose expected demand a draw covers.
const DefaultHorizon = 60 * time.Second

const (
	// decayTime is the time constant of the moving averages.
	decayTime = 10 * time.Second
	// minAverageAge is the minimum age that TokenRate assumes for a meter when it corrects the
	// average, so that the first requests do not count as a high rate.
	minAverageAge = 2 * time.Second

	// evenShareFactor is the part of an even share among the routers that a draw takes.
	// It is above 1 because later draws find fewer tokens available.
	evenShareFactor = 1.5

	// idleShareFactor is the part of such a draw that a router without demand takes.
	idleShareFactor = 0.33

	// A draw ahead of demand takes at most the available tokens divided by one of these.
	eagerDivisor  = 4
	frugalDivisor = 16
)

// DrawInput is the input to the size of a draw; amounts are in tokens.
type DrawInput struct {
	// MinShortfall is the number of tokens, beyond the free ones, that the smallest waiting
	// request needs, or 0 if no request waits.
	MinShortfall int64
	// Shortfall is the number of tokens, beyond the free ones, that all waiting
	// requests need together.
	Shortfall int64
	// Free is the number of free tokens in the holding.
	Free int64
	// Rate is the number of tokens per second that were recently requested.
	Rate float64
	// Available is the number of tokens that can be drawn from the budget.
	Available int64
	// Eager makes SizeByDemand draw a larger share ahead of demand, so that fewer
	// requests wait.
	Eager bool
}

// SizeByDemand returns a function that sizes a draw for the expected demand over the
// horizon. Beyond the tokens that waiting requests need, it draws at most a share of the
// available tokens, so that routers do not strand tokens that others could use.
func SizeByDemand(horizon time.Duration) func(DrawInput) int64 {
	return func(input DrawInput) int64 {
		if input.Available < input.MinShortfall {
			return 0
		}
		divisor := int64(frugalDivisor)
		if input.Eager {
			divisor = eagerDivisor
		}
		ahead := min(amount.FromFloat(input.Rate*horizon.Seconds()), input.Available/divisor)
		return max(min(input.Shortfall, input.Available), ahead-max(input.Free, 0), input.MinShortfall)
	}
}

// SizeByShare returns a function that sizes a draw as a share of the available tokens
// among the routers, so that each can serve requests during an outage of the budget's
// store.
func SizeByShare(routers func() int) func(DrawInput) int64 {
	return func(input DrawInput) int64 {
		if input.Available < input.MinShortfall {
			return 0
		}
		share := min(1, evenShareFactor/float64(max(1, routers())))
		if input.Rate == 0 {
			share *= idleShareFactor
		}
		ahead := min(amount.FromFloat(share*float64(input.Available)), input.Available)
		return min(max(input.Shortfall, ahead-max(input.Free, 0), input.MinShortfall), input.Available)
	}
}

// SizeFixed returns a function that sizes a draw as n tokens, or more if the smallest
// waiting request needs more. It does not draw ahead of demand.
func SizeFixed(n int64) func(DrawInput) int64 {
	return func(input DrawInput) int64 {
		if input.MinShortfall == 0 {
			return 0
		}
		return max(n, input.MinShortfall)
	}
}

// Meter measures the demand for tokens. It is not safe for concurrent use.
type Meter struct {
	tokenRate        float64 // moving average of tokens per second at lastRequestAt, starting from 0
	requestRate      float64 // moving average of requests per second, likewise
	firstRequestAt   time.Time
	lastRequestAt    time.Time
	waitingTokens    int64 // sum over the requests that wait for the next draw
	minWaitingTokens int64 // smallest of these requests, or 0 if none waits
}

// RecordRequest counts a request for n tokens.
func (m *Meter) RecordRequest(n int64, now time.Time) {
	if m.firstRequestAt.IsZero() {
		m.firstRequestAt = now
	}
	decay := m.decay(now)
	m.tokenRate = decay*m.tokenRate + float64(n)/decayTime.Seconds()
	m.requestRate = decay*m.requestRate + 1/decayTime.Seconds()
	m.lastRequestAt = now
}

// TokenRate returns the recent average of the tokens per second that requests asked for.
func (m *Meter) TokenRate(now time.Time) float64 {
	if m.lastRequestAt.IsZero() {
		return 0
	}
	// The moving average starts at 0, so it is too low shortly after the first request.
	age := max(now.Sub(m.firstRequestAt), minAverageAge)
	return m.decay(now) * m.tokenRate / (1 - math.Exp(-age.Seconds()/decayTime.Seconds()))
}

// RequestRate returns the recent average of requests per second. Unlike TokenRate, it is not
// corrected for a meter that has just started, and so is too low at first.
func (m *Meter) RequestRate(now time.Time) float64 { return m.decay(now) * m.requestRate }

// decay returns the factor by which an average has decayed since the last request.
func (m *Meter) decay(now time.Time) float64 {
	if m.lastRequestAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(m.lastRequestAt).Seconds() / decayTime.Seconds())
}

// LastRequestAt returns the time of the last request, or the zero time.
func (m *Meter) LastRequestAt() time.Time { return m.lastRequestAt }

// RecordWaiting counts a request for n tokens that waits for the next draw.
func (m *Meter) RecordWaiting(n int64) {
	m.waitingTokens = amount.Add(m.waitingTokens, n)
	if m.minWaitingTokens == 0 || n < m.minWaitingTokens {
		m.minWaitingTokens = n
	}
}

// TakeInput returns the input to the next draw, given the free tokens, without
// Available and Eager. It resets the waiting requests.
func (m *Meter) TakeInput(free int64) DrawInput {
	input := DrawInput{Rate: m.TokenRate(m.lastRequestAt), Free: free}
	if m.waitingTokens > 0 {
		input.MinShortfall = max(amount.Add(m.minWaitingTokens, -free), 1)
		input.Shortfall = max(amount.Add(m.waitingTokens, -free), 1)
	}
	m.waitingTokens, m.minWaitingTokens = 0, 0
	return input
}
