// Package demand measures the rate at which requests need tokens, and computes from
// it the number of tokens that a router draws from a budget at a time. It manages no
// tokens itself.
package demand
