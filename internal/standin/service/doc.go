// Package service is a small stand-in for a plain service beside the model
// engines. It counts every run of each call as evidence for tests.
package service
