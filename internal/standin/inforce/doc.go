// Package inforce measures configuration propagation: the time from the acceptance
// of a configuration change until every router of a running fleet applies it.
package inforce
