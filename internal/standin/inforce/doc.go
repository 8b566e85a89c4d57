// Package inforce measures how long accepted configuration takes until it is in
// force on every router of a running fleet.
package inforce
