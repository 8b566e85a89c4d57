// Package roster maintains the list of target instances by service from the
// announcements that the targets write to the store. Each Roster is immutable; a
// Tracker publishes a new one whenever announcements change.
package roster
