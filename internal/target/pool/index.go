package pool

import (
	"maps"
	"slices"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/workspace/catalogue"
)

// index holds the targets by model and by service; it is immutable.
type index struct {
	all       map[string]*target   // by address, also those outside the subsets
	byModel   map[string][]*target // the subset that this router uses
	byService map[string][]*target // likewise
}

// newIndex builds the index of the targets in all. Each model and service gets a subset of
// at most size targets, selected by this router's position.
func newIndex(all map[string]*target, infos []catalogue.Target, position balance.RouterIndex, size int) *index {
	models := make(map[string][]string)
	services := make(map[string][]string)
	for _, info := range infos {
		for _, m := range info.Models {
			models[m] = append(models[m], info.Addr)
		}
		if info.Service != "" {
			services[info.Service] = append(services[info.Service], info.Addr)
		}
	}
	return &index{
		all:       all,
		byModel:   subsets(all, models, position, size),
		byService: subsets(all, services, position, size),
	}
}

// subsets returns, for each name, the subset of its target addresses that the router at
// position uses.
func subsets(all map[string]*target, names map[string][]string, position balance.RouterIndex, size int) map[string][]*target {
	out := make(map[string][]*target, len(names))
	for name, addrs := range names {
		slices.Sort(addrs)
		for _, addr := range balance.Subset(name, position, addrs, size) {
			out[name] = append(out[name], all[addr])
		}
	}
	return out
}

// targetsFor returns the targets that this router uses for the request's model or service.
func (i *index) targetsFor(r Requirements) []*target {
	if r.Service != "" {
		return i.byService[r.Service]
	}
	return i.byModel[r.Model]
}

// names returns the models and the services that have targets, sorted.
func (i *index) names() (models, services []string) {
	return slices.Sorted(maps.Keys(i.byModel)), slices.Sorted(maps.Keys(i.byService))
}

// engineAddrs returns the sorted addresses of the engines that this router uses.
func (i *index) engineAddrs() []string {
	set := make(map[string]bool)
	for _, targets := range i.byModel {
		for _, t := range targets {
			set[t.addr] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
