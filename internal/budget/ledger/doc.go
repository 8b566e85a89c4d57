// Package ledger owns the rows of budgets, holdings and bills in the platform's
// table and the commits that change them. Every commit keeps
// allotted + billed <= granted for each budget, and inserts a bill only if its
// key is absent, so that no request is billed twice. Package allotment calls it
// for a router; the operators' commands call it to grant tokens.
//
// A holding is the set of tokens that one router incarnation, its holder, has drawn
// from one budget. A witness is another router that keeps the entries of the
// holding's requests, so that the holding can be closed if its holder fails.
package ledger
