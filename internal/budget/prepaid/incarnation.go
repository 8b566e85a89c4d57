package prepaid

import (
	"strconv"
	"strings"
)

const (
	// incarnationSeparator separates the name of a VM from what distinguishes its incarnations.
	incarnationSeparator = "#"
	// reopeningSeparator separates the ID of a process from the number of times that it has had to
	// open its journal again.
	reopeningSeparator = "~"
	// reclaimedMark begins the distinguishing part of the ID under which a router takes over the
	// journal of a lost VM.
	reclaimedMark = "reclaimed"
)

// NewIncarnationID returns the ID of an incarnation of a VM; unique must differ from that of
// every other incarnation of the VM.
func NewIncarnationID(vm, unique string) string { return vm + incarnationSeparator + unique }

// VMOf returns the VM of an incarnation ID.
func VMOf(incarnation string) string {
	if n := strings.LastIndex(incarnation, incarnationSeparator); n >= 0 {
		return incarnation[:n]
	}
	return incarnation
}

// incarnation returns the ID under which this process holds tokens: a new one each time that other
// routers have reclaimed its holdings.
func (m *Manager) incarnation() string {
	n := m.reopenings.Load()
	if n == 0 {
		return m.Incarnation
	}
	return m.Incarnation + reopeningSeparator + strconv.FormatInt(n, 10)
}

// processOf returns the ID that the process of an incarnation has in the membership view.
func processOf(incarnation string) string {
	n := strings.LastIndex(incarnation, reopeningSeparator)
	if n > len(VMOf(incarnation)) {
		return incarnation[:n]
	}
	return incarnation
}

// reclaimedID returns the ID under which the journal of a lost VM is taken over in an epoch.
func reclaimedID(vm string, epoch int64) string {
	return NewIncarnationID(vm, reclaimedMark+strconv.FormatInt(epoch, 10))
}

// isReclaimedID reports whether an ID was returned by reclaimedID.
func isReclaimedID(incarnation string) bool {
	return strings.HasPrefix(incarnation, NewIncarnationID(VMOf(incarnation), reclaimedMark))
}
