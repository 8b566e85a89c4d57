// Package report asks targets how they are: whether they answer at all, how many
// requests they have and which prompt prefixes they hold. What it learns is late
// and may be wrong; the pool treats it as hints.
package report
