// Package queue schedules requests onto the targets' slots; a slot is the right
// to have one request outstanding at a target. Each model and each plain service
// has its own queue. Within a queue, weighted fair queueing by tokens shares the
// slots among workspaces, and urgent requests get a bounded head start over long
// ones. A request whose expected wait is too long is refused immediately instead
// of being queued. The dispatcher acquires a slot for each attempt.
package queue
