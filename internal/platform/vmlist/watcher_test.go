package vmlist

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestWatcher(t *testing.T) {
	var listErr error
	vms := []VM{{Addr: "10.0.0.1", Leaving: true}, {Addr: "10.0.0.2:7101"}, {Addr: "10.0.0.3:7101", Leaving: true}}
	w := &Watcher{List: func(context.Context) ([]VM, error) { return vms, listErr }}
	assert.Equal(t, len(w.VMs()), 0)
	w.read(context.Background())
	assert.DeepEqual(t, w.Addrs(7101), []string{"10.0.0.1:7101", "10.0.0.2:7101", "10.0.0.3:7101"})
	assert.Assert(t, w.Leaving("10.0.0.1:7001"))
	assert.Assert(t, !w.Leaving("10.0.0.2:7101"))
	assert.Assert(t, w.Leaving("10.0.0.3:7101"))
	assert.Assert(t, !w.Leaving("10.0.0.3:7999"))
	listErr = errors.New("platform down")
	w.read(context.Background())
	assert.Equal(t, len(w.VMs()), 3, "the previous list must stay in use")
}
