// Package demand measures how many tokens requests ask for, and decides from it how
// many a router draws from a budget at a time. It holds no tokens itself.
package demand
