package rosevalve

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangupWhileStarting sends the signal before the command has run. The process of the
// test ends by it if nothing expects it.
func TestHangupWhileStarting(t *testing.T) {
	edgeCommand([]string{edgeName}, io.Discard)
	seen := make(chan os.Signal, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	// A second watcher comes later than the first signal, which the command must have taken.
	signal.Notify(seen, syscall.SIGHUP)
	defer signal.Stop(seen)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-seen
}
