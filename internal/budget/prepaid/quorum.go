package prepaid

// Of the reclaimers that a journal write names, a number must keep a replica of the bounds before more than the
// write's firm bounds is used, and a number must be fenced before the holdings are reclaimed at the bounds that
// they keep. At least one belongs to both. One that has ended counts for neither. So the loss of one prevents
// neither, and any two that are left can reclaim; one that is left alone counts what may be used without it.

// replicaQuorum returns how many of the named reclaimers must keep a replica of the bounds.
func replicaQuorum(named int) int {
	if named <= 2 {
		return named
	}
	return named - 1
}

// reclaimQuorum returns how many of the named reclaimers must be fenced, including the one that reclaims.
func reclaimQuorum(named int) int { return named - replicaQuorum(named) + 1 }
