// Package allotment manages the tokens that this router has drawn from budgets. A
// request reserves its worst case before it is dispatched and is billed for its
// usage; bills are settled in the table in batches. The request gateway calls it.
//
// A holding is the set of tokens drawn by one router from one budget, with its row in
// the table. A witness is another router that acknowledges and keeps the entries of a
// holding, one for each request, so that the holding can be closed if this router
// fails. A witness that has sealed the entries of a holding, its book, acknowledges no
// more of them. A term is the period in which a holding has one witness.
//
// Budgets are kept in shards, each under its own lock, and the table operations of a
// budget run one at a time.
package allotment
