package edge

import "golang.org/x/sys/unix"

const (
	// otherDescriptors are kept for files and the store, of the descriptors of the process.
	otherDescriptors = 200
	// minDescriptors is what is shared at least.
	minDescriptors = 64
	// peerShare and auxShare are the largest shares of the others for the connections of other routers and of each auxiliary
	// listener. Callers and targets share the rest, and what other routers leave of their share, except for keptPeerShare.
	peerShare     = 1.0 / 4
	keptPeerShare = 1.0 / 16
	auxShare      = 1.0 / 32
	// minCallerShare is the least share for connections of callers, also when targets use the rest.
	minCallerShare = 1.0 / 4
	// minTargetShare is the share that callers leave for connections to targets.
	minTargetShare = 1.0 / 4
)

// readDescriptors returns how many descriptors the connections of this process share.
func (e *Edge) readDescriptors() int {
	total := e.Settings.Edge.MaxDescriptors
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (total == 0 || int64(limit.Cur) < total) {
		total = int64(min(limit.Cur, 1<<30))
	}
	return max(minDescriptors, int(total)-otherDescriptors)
}

// descriptors returns how many descriptors the connections of this process share, as they were at its start.
func (e *Edge) descriptors() int { return e.sharedDescriptors }

// requestDescriptors returns how many descriptors the connections of callers and to targets share.
func (e *Edge) requestDescriptors() int {
	peers := max(e.peerListener.Open(), e.descriptorShare(keptPeerShare))
	return e.descriptors() - peers - len(e.auxAddrs())*e.descriptorShare(auxShare)
}

// maxCallers returns how many connections of callers may be open.
func (e *Edge) maxCallers() int {
	targets := max(e.descriptorShare(minTargetShare), e.targetConns.Open())
	return max(e.descriptorShare(minCallerShare), e.requestDescriptors()-targets)
}

// lacksDescriptors reports whether a new request could get no connection to a target, also after an idle connection of a
// caller was closed for it.
func (e *Edge) lacksDescriptors() bool {
	return e.ingress.Connections()+e.targetConns.Open() > e.requestDescriptors() && !e.ingress.CloseIdle()
}

// descriptorShare returns a share of the descriptors.
func (e *Edge) descriptorShare(share float64) int { return int(share * float64(e.descriptors())) }
