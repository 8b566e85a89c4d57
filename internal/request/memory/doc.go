// Package memory bounds the memory of what callers and targets make a router hold.
package memory
