// Package object is the client of the platform's object store, which keeps what
// is large and seldom read. The catalogue archives its log of changes there.
package object
