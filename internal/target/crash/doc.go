// Package crash tells the crash of a target from the loss of a connection to it, and collects
// what this router's requests that were lost in one crash had in common.
package crash
