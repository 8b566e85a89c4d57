// Package demand measures the rate at which requests ask for tokens, and computes from
// it the number of tokens that a router draws from a budget at a time. It manages no
// tokens itself.
package demand
