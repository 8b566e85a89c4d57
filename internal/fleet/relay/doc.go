// Package relay carries operations on the platform's table through another router
// while this one is cut off from it. It wraps the three functions of the table's
// client and keeps their outcomes: what was refused stays refused, and a commit
// whose outcome is unknown is never sent again.
package relay
