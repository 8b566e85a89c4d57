// Package allotment owns the tokens that this router has drawn from budgets and
// spends requests from them. A request reserves its worst case before it is
// dispatched and bills what it used; bills are settled in the table in batches.
// The request gateway calls it. The books are kept in shards, each under its own
// lock, and a budget's table operations run one at a time.
package allotment
