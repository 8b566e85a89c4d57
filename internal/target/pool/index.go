package pool

import (
	"maps"
	"slices"

	"rosevalve/internal/target/balance"
	"rosevalve/internal/workspace/catalogue"
)

// index holds the targets by what they serve; it never changes.
type index struct {
	all       map[string]*target
	byModel   map[string][]*target // the subset that this router uses
	byService map[string][]*target
}

func newIndex(all map[string]*target, infos []catalogue.Target, at balance.Position, size int) *index {
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
		byModel:   subsets(all, models, at, size),
		byService: subsets(all, services, at, size),
	}
}

func subsets(all map[string]*target, names map[string][]string, at balance.Position, size int) map[string][]*target {
	out := make(map[string][]*target, len(names))
	for name, addrs := range names {
		slices.Sort(addrs)
		for _, addr := range balance.Subset(name, at, addrs, size) {
			out[name] = append(out[name], all[addr])
		}
	}
	return out
}

// serving returns the targets for a request.
func (i *index) serving(d Demand) []*target {
	if d.Service != "" {
		return i.byService[d.Service]
	}
	return i.byModel[d.Model]
}

func (i *index) names() (models, services []string) {
	return slices.Sorted(maps.Keys(i.byModel)), slices.Sorted(maps.Keys(i.byService))
}

// engines returns the addresses of the engines in use.
func (i *index) engines() []string {
	set := make(map[string]bool)
	for _, targets := range i.byModel {
		for _, t := range targets {
			set[t.addr] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
