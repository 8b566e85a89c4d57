// Package amount calculates with counts of tokens that come from outside, where sums can exceed the
// range of an integer: they are limited to it, and do not wrap around.
package amount
