package prepaid

// Of the reclaimers that a journal write names, a number must agree to defer before more than its
// firm bounds is used, and a number must agree before the holdings are reclaimed by it. At least
// one would have to agree to both, which none does. One that has ended counts for neither: it may
// have agreed to the other before. So the loss of some reclaimers prevents neither.

// deferralQuorum returns how many of the named reclaimers must agree to defer.
func deferralQuorum(named int) int { return min(named, named/2+1) }

// reclaimQuorum returns how many of the named reclaimers must agree to reclaim, including the one
// that does it.
func reclaimQuorum(named int) int { return named - deferralQuorum(named) + 1 }
