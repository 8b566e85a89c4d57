package rosevalve

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangupWhileStarting sends SIGHUP after edgeCommand has returned and before the
// command runs. If edgeCommand does not handle the signal, it ends the test process.
func TestHangupWhileStarting(t *testing.T) {
	edgeCommand([]string{edgeName}, io.Discard)
	received := make(chan os.Signal, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	// This handler is installed after the first signal was sent, so that only the command's
	// handler can have kept the process alive.
	signal.Notify(received, syscall.SIGHUP)
	defer signal.Stop(received)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-received
}
