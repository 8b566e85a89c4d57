// Package object is the client of the platform's object store, which holds large, rarely
// read data. The catalogue archives its change log there.
package object
