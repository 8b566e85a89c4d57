// Package reclaim returns the tokens of routers that are suspected to be dead to
// their budgets. Each router records its requests at a witness, another router,
// in one book per term of a holding. To reclaim a holding, this package seals that
// book, so that the holder can record nothing more; closes the holding on the
// entries of the book; and cancels the requests that are still open at their targets
// to determine their usage. Tokens without such a record stay in doubt until an operator
// releases them. A router process runs one sweep at a time. A router that is suspected
// wrongly has to draw from the budget again.
package reclaim
