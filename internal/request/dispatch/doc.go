// Package dispatch runs admitted requests at targets: it picks a target, retries
// what provably did not run, resumes streams that are cut, and reports what each
// run used. The gateway starts it on behalf of the first caller of a key.
package dispatch
