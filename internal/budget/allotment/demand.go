package allotment

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 10 * time.Second

	defaultHorizon = 60 * time.Second
	eagerShare     = 4
	frugalShare    = 16
)

// Demand is what is known when the size of a draw is decided, in tokens.
type Demand struct {
	// Least is what the smallest of the waiting requests lacks, or 0 if none waits.
	Least int64
	// Shortfall is what all of the waiting requests lack together.
	Shortfall int64
	// Free is what the holding still has.
	Free int64
	// Rate is the number of tokens reserved per second.
	Rate float64
	// Available is what the budget has left in the table.
	Available int64
	// Eager spreads tokens sooner, for fewer waits; it changes nothing else.
	Eager bool
}

// SizeByDemand returns a draw size that follows the demand over the horizon, but
// takes only a share of what the budget has left, so that nothing is stranded.
func SizeByDemand(horizon time.Duration) func(Demand) int64 {
	return func(d Demand) int64 {
		if d.Available < d.Least {
			return 0
		}
		share := int64(frugalShare)
		if d.Eager {
			share = eagerShare
		}
		ahead := min(int64(d.Rate*horizon.Seconds()), d.Available/share)
		return max(min(d.Shortfall, d.Available), ahead-max(d.Free, 0), d.Least)
	}
}

// SizeFixed returns a draw size that does not depend on demand.
func SizeFixed(n int64) func(Demand) int64 {
	return func(d Demand) int64 {
		if d.Least == 0 {
			return 0
		}
		return max(n, d.Least)
	}
}

// demand measures what requests ask of a book. The book's lock guards it.
type demand struct {
	rate  float64 // tokens per second
	at    time.Time
	total int64 // wanted by the requests that wait for the next draw
	least int64 // the smallest of them
}

// ask counts a request for n tokens.
func (d *demand) ask(n int64, now time.Time) {
	window := demandWindow.Seconds()
	if !d.at.IsZero() {
		d.rate *= math.Exp(-now.Sub(d.at).Seconds() / window)
	}
	d.rate += float64(n) / window
	d.at = now
}

// wait counts a request that waits for the next draw.
func (d *demand) wait(n int64) {
	d.total += n
	if d.least == 0 || n < d.least {
		d.least = n
	}
}

// next returns what the next draw is for, given what is free, and starts anew.
func (d *demand) next(free int64) Demand {
	out := Demand{Rate: d.rate, Free: free}
	if d.total > 0 {
		out.Least = max(d.least-free, 1)
		out.Shortfall = max(d.total-free, 1)
	}
	d.total, d.least = 0, 0
	return out
}
