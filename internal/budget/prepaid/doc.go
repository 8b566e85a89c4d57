// Package prepaid manages the tokens that this VM may spend of its workspaces' prepaid totals.
//
// An incarnation is one run of the router process on a VM; NewIncarnationID makes its ID. It
// draws tokens from a workspace's total in the platform's store into a holding, and spends them from
// memory. It never spends more than a bound that it has written to the store before, in its
// journal, so that the VM's next incarnation knows how many tokens the previous one can have
// used, whatever ended it. A mirror (another router) keeps a copy of the journal with tighter
// bounds, so that fewer tokens are lost if an incarnation ends while the store is unreachable.
// The forwarder reserves and bills tokens; other routers request transfers of them.
//
// If the store is rolled back to an older copy of itself, a new era begins. The incarnations then
// restore the rows of which they know a newer state than the copy, before tokens are drawn
// again.
package prepaid
