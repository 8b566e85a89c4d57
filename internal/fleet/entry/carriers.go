package entry

import (
	"rosevalve/internal/protocol/inner"
)

const (
	// smallShare is the part of the largest capacity below which a router is small.
	smallShare = 0.25
	// leastCarriers is how many routers carry the requests at the least, so that the loss
	// of one is the loss of a part only.
	leastCarriers = 4
)

// Carriers returns the routers that carry the requests: those that live and take
// callers, without the small ones as long as there are enough others and none of those
// has more than it can carry. Few large routers know more of each target and each
// workspace than many small ones, and one caller can not choke them.
func Carriers(members []inner.Member) []inner.Member {
	most := 0
	var alive []inner.Member
	for _, m := range members {
		if m.State != inner.Alive || !m.Ready {
			continue
		}
		alive = append(alive, m)
		most = max(most, m.Capacity)
	}
	var large, free []inner.Member
	for _, m := range alive {
		if float64(m.Capacity) >= smallShare*float64(most) {
			large = append(large, m)
		}
		if !m.Busy {
			free = append(free, m)
		}
	}
	if len(large) >= leastCarriers && !anyBusy(large) {
		return large
	}
	if len(free) > 0 {
		return free
	}
	return alive
}

func anyBusy(members []inner.Member) bool {
	for _, m := range members {
		if m.Busy {
			return true
		}
	}
	return false
}
