// Package admission authenticates callers and validates their requests. It converts
// a completion request into a Request with its workspace, its maximum number of
// tokens and its priority. The gateway calls it before anything is reserved.
package admission
