package edge

import "golang.org/x/sys/unix"

const (
	// otherDescriptors are kept for files and the store, of the descriptors of the process.
	otherDescriptors = 200
	// minDescriptors is what is shared at least.
	minDescriptors = 64
	// callerShare, peerShare and auxShare are the shares of the others for the connections of callers, of other routers, and
	// of each auxiliary listener. The rest is for connections to targets and other routers.
	callerShare = 11.0 / 16
	peerShare   = 1.0 / 8
	auxShare    = 1.0 / 32
)

// descriptors returns how many descriptors the connections of this process share.
func (e *Edge) descriptors() int {
	total := e.Settings.Edge.MaxDescriptors
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (total == 0 || int64(limit.Cur) < total) {
		total = int64(min(limit.Cur, 1<<30))
	}
	return max(minDescriptors, int(total)-otherDescriptors)
}

// descriptorShare returns a share of the descriptors.
func (e *Edge) descriptorShare(share float64) int { return int(share * float64(e.descriptors())) }
