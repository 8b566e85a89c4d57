package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

// completion is the scheduled end of a request.
type completion struct {
	at     float64 // seconds
	router int
	target int
}

// completionHeap implements heap.Interface, ordered by time.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loadCase is the configuration of one simulation of the load of one model.
type loadCase struct {
	routers, targets, size int
	rate                   float64 // requests per second for the model
	duration               float64 // mean duration of a request in seconds
	numbered               bool    // routers know their index
	reportInterval         float64 // seconds between load reports; zero disables them
	failedShare            float64 // fraction of the targets that have failed
}

// simulate runs the case for the given virtual time and returns the maximum and the
// 99th percentile of the outstanding requests per target, divided by the mean.
func (c loadCase) simulate(seconds float64) (highest, p99 float64) {
	r := rand.New(rand.NewPCG(3, 3))
	all := numberedNames("target", c.targets)
	index := make(map[string]int)
	for i, t := range all {
		index[t] = i
	}
	working := all[:int(float64(c.targets)*(1-c.failedShare))]
	subsets := make([][]int, c.routers)
	ownLoad := make([][]float64, c.routers)
	for i := range c.routers {
		position := RouterIndex{Self: fmt.Sprint("router-", i)}
		if c.numbered {
			position.Index, position.Count = i, c.routers
		}
		for _, t := range Subset("oak", position, all, c.size) {
			if index[t] < len(working) {
				subsets[i] = append(subsets[i], index[t])
			}
		}
		ownLoad[i] = make([]float64, c.targets)
	}
	load := make([]float64, c.targets)
	reported := make([]float64, c.targets)
	chooser := Chooser{Rand: r.IntN}
	var inFlight completionHeap
	nextReport := 0.0
	for now := 0.0; now < seconds; now += r.ExpFloat64() / c.rate {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			ended := heap.Pop(&inFlight).(completion)
			load[ended.target]--
			ownLoad[ended.router][ended.target]--
		}
		if c.reportInterval > 0 && now >= nextReport {
			copy(reported, load)
			nextReport = now + c.reportInterval
		}
		router := r.IntN(c.routers)
		candidates := make([]Candidate, 0, c.size)
		for _, t := range subsets[router] {
			candidates = append(candidates, Candidate{Load: ownLoad[router][t] + max(0, reported[t]-ownLoad[router][t]), HasSlot: true})
		}
		t := subsets[router][chooser.Choose(0, 1, candidates)]
		load[t]++
		ownLoad[router][t]++
		heap.Push(&inFlight, completion{at: now + c.duration*r.ExpFloat64(), router: router, target: t})
	}
	return loadOverMean(load[:len(working)])
}

// loadOverMean returns the maximum and the 99th percentile of the load, divided by its
// mean.
func loadOverMean(load []float64) (highest, p99 float64) {
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

// TestSpreadOverSubsets prints the table in docs/design/load.md. It runs only if
// ROSEVALVE_EXPERIMENT is set.
func TestSpreadOverSubsets(t *testing.T) {
	if os.Getenv("ROSEVALVE_EXPERIMENT") == "" {
		t.Skip("set ROSEVALVE_EXPERIMENT=1 to run the simulation")
	}
	// One of 12 models: 508 of 6,100 targets, 1,833 of 22,000 requests a second.
	base := loadCase{routers: 1100, targets: 508, rate: 1833, duration: 12}
	for _, size := range []int{8, 16, 32, 64} {
		for _, numbered := range []bool{false, true} {
			for _, reportInterval := range []float64{0, 1, 5} {
				for _, failedShare := range []float64{0, 0.25} {
					c := base
					c.size, c.numbered, c.reportInterval, c.failedShare = size, numbered, reportInterval, failedShare
					highest, p99 := c.simulate(40)
					t.Logf("subset %2d numbered %5v reports %gs failed %3.0f%%: max/mean %.2f p99/mean %.2f", size, numbered, reportInterval, failedShare*100, highest, p99)
				}
			}
		}
	}
}
