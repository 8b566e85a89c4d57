// Package ledger owns the rows of budgets, holdings and bills in the platform's
// table and the commits that change them. Every commit keeps
// allotted + billed <= granted for each budget, and inserts each bill on
// condition that its key is absent. Allotments call it on behalf of a router;
// the operators' commands call it to grant tokens.
package ledger
