package socket

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseWithoutOnClosed guards against a panic at the end of a connection whose user does not ask to be told.
func TestCloseWithoutOnClosed(t *testing.T) {
	for name, lingers := range map[string]bool{"at once": false, "lingering": true} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			c := &LingerConn{Conn: near}
			assert.NilError(t, far.Close())
			if lingers {
				c.drain(endSilence) // what Close does in the background
				return
			}
			assert.NilError(t, c.Close())
		})
	}
}
