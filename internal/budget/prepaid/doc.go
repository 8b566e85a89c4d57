// Package prepaid owns the tokens that this VM may spend of its workspaces' prepaid
// totals. Tokens are conserved in the platform's store and spent from memory, but
// never beyond a bound that is written to the store first, so that the VM's next
// life knows what the last one can have used, whatever has ended it. The forwarder
// reserves and bills; other routers ask for gifts.
package prepaid
