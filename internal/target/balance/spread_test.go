package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

// ending is a request that ends.
type ending struct {
	at     float64
	router int
	target int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fleetCase is one calculation of how the load of one model evens out.
type fleetCase struct {
	routers, targets, size int
	rate                   float64 // requests per second of the model
	hold                   float64 // seconds of one request
	numbered               bool
	reports                float64 // age of load reports in seconds, or zero for none
	failed                 float64 // share of the targets that fail
}

// outstanding runs the case and returns the largest and the 99th percentile of the load over the mean.
func (c fleetCase) outstanding(seconds float64) (highest, p99 float64) {
	r := rand.New(rand.NewPCG(3, 3))
	all := names("target", c.targets)
	index := make(map[string]int)
	for i, t := range all {
		index[t] = i
	}
	live := all[:int(float64(c.targets)*(1-c.failed))]
	subsets := make([][]int, c.routers)
	own := make([][]float64, c.routers)
	for i := range c.routers {
		at := Position{Self: fmt.Sprint("router-", i)}
		if c.numbered {
			at.Index, at.Count = i, c.routers
		}
		for _, t := range Subset("oak", at, all, c.size) {
			if index[t] < len(live) {
				subsets[i] = append(subsets[i], index[t])
			}
		}
		own[i] = make([]float64, c.targets)
	}
	total := make([]float64, c.targets)
	reported := make([]float64, c.targets)
	chooser := Chooser{Rand: r.IntN}
	var running endings
	nextReport := 0.0
	for now := 0.0; now < seconds; now += r.ExpFloat64() / c.rate {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(ending)
			total[e.target]--
			own[e.router][e.target]--
		}
		if c.reports > 0 && now >= nextReport {
			copy(reported, total)
			nextReport = now + c.reports
		}
		router := r.IntN(c.routers)
		candidates := make([]Candidate, 0, c.size)
		for _, t := range subsets[router] {
			candidates = append(candidates, Candidate{Load: own[router][t] + max(0, reported[t]-own[router][t]), Room: true})
		}
		t := subsets[router][chooser.Choose(0, 1, candidates)]
		total[t]++
		own[router][t]++
		heap.Push(&running, ending{at: now + c.hold*r.ExpFloat64(), router: router, target: t})
	}
	return evenness(total[:len(live)])
}

func evenness(load []float64) (highest, p99 float64) {
	sum := 0.0
	sorted := append([]float64(nil), load...)
	for _, x := range sorted {
		sum += x
	}
	mean := sum / float64(len(sorted))
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)-1] / mean, sorted[len(sorted)*99/100] / mean
}

// TestSpreadOverSubsets prints the table of docs/design/load.md if ROSEVALVE_EXPERIMENT is set.
func TestSpreadOverSubsets(t *testing.T) {
	if os.Getenv("ROSEVALVE_EXPERIMENT") == "" {
		t.Skip("set ROSEVALVE_EXPERIMENT=1 to run the calculation")
	}
	// One of 12 models: 508 of 6,100 targets, 1,833 of 22,000 requests a second.
	base := fleetCase{routers: 1100, targets: 508, rate: 1833, hold: 12}
	for _, size := range []int{8, 16, 32, 64} {
		for _, numbered := range []bool{false, true} {
			for _, reports := range []float64{0, 1, 5} {
				for _, failed := range []float64{0, 0.25} {
					c := base
					c.size, c.numbered, c.reports, c.failed = size, numbered, reports, failed
					highest, p99 := c.outstanding(40)
					t.Logf("subset %2d numbered %5v reports %gs failed %3.0f%%: max/mean %.2f p99/mean %.2f", size, numbered, reports, failed*100, highest, p99)
				}
			}
		}
	}
}
