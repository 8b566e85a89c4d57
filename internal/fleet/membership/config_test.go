package membership

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/standin/platform"
	"rosevalve/internal/workspace/catalogue"
)

const never = 100 * 365 * 24 * time.Hour // interval of polls and of requests to peers, to disable them

// configFleet is two routers that learn of new configuration versions through heartbeats only.
type configFleet struct {
	net        *network
	store      *platform.Store
	catalogues map[string]*catalogue.Catalogue // by inner address
	down       atomic.Bool                     // the second router cannot reach the table
}

// newConfigFleet returns two routers that are not started.
func newConfigFleet(seed uint64) *configFleet {
	f := &configFleet{net: newNetwork(seed), store: platform.NewStore(), catalogues: make(map[string]*catalogue.Catalogue)}
	f.net.config = make(map[string]func(ctx context.Context, params json.RawMessage) (any, error))
	f.addRouter(addrOf(0), addrOf(1), &atomic.Bool{})
	f.addRouter(addrOf(1), addrOf(0), &f.down)
	return f
}

// addRouter adds the configuration catalogue of the router at addr, whose only peer is peer.
func (f *configFleet) addRouter(addr, peer string, down *atomic.Bool) {
	c := &catalogue.Catalogue{
		Addr:           addr,
		PollInterval:   never,
		GossipInterval: never,
		Commit:         func(_ context.Context, cm table.Commit) (uint64, error) { return f.store.Commit(cm) },
		Get:            func(_ context.Context, keys ...string) ([]table.Row, error) { return f.store.Get(keys), nil },
		Scan: func(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
			if down.Load() {
				return nil, table.ErrUnavailable
			}
			return f.store.Scan(prefix, after, limit), nil
		},
		Peers: func() []string { return []string{peer} },
		QueryPeer: func(ctx context.Context, to string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
			return f.askPeer(ctx, addr, to, in)
		},
	}
	f.catalogues[addr] = c
	f.net.config[addr] = c.HandlePeer
}

// askPeer requests configuration changes over the network.
func (f *configFleet) askPeer(ctx context.Context, from, to string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var out inner.ConfigurationResponse
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	b, err := f.net.deliver(ctx, from, to, inner.MethodConfiguration, body)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(b, &out)
}

// start runs the routers and waits until they know each other. They react to versions in
// heartbeats if listen is set.
func (f *configFleet) start(ctx context.Context, listen bool) {
	for i := range 2 {
		c := f.catalogues[addrOf(i)]
		f.net.adjust = func(v *View) {
			v.ConfigVersion = func() uint64 { return c.Current().Version() }
			if listen {
				v.OnConfigVersion = c.ObservePeerVersion
			}
		}
		f.net.start(addrOf(i), addrOf(i), 1, addrOf(0))
		go func() { _ = c.Run(ctx) }()
	}
	time.Sleep(settleTime)
}

// versionAfterCut cuts the link between the routers while the first one accepts a change, and
// returns the version of the second one some rounds after the link is restored.
func versionAfterCut(t *testing.T, listen, down bool) uint64 {
	t.Helper()
	var version uint64
	synctest.Test(t, func(t *testing.T) {
		f := newConfigFleet(3)
		f.start(t.Context(), listen)
		f.net.cut(addrOf(0), addrOf(1), true)
		item, err := catalogue.NewItem(catalogue.KindWorkspace, "gorenjska", catalogue.Workspace{Name: "gorenjska", Weight: 2})
		assert.NilError(t, err)
		accepted, err := f.catalogues[addrOf(0)].Accept(t.Context(), 0, catalogue.Change{CommandID: "a", Operator: "ana", Items: []catalogue.Item{item}})
		assert.NilError(t, err)
		assert.Equal(t, accepted, uint64(1))
		f.down.Store(down)
		time.Sleep(2 * probeTimeout)
		f.net.cut(addrOf(0), addrOf(1), false)
		time.Sleep(5 * time.Second)
		version = f.catalogues[addrOf(1)].Current().Version()
		f.net.killAll()
	})
	return version
}

func TestHeartbeatTellsOfConfiguration(t *testing.T) {
	t.Run("table well", func(t *testing.T) { assert.Equal(t, versionAfterCut(t, true, false), uint64(1)) })
	t.Run("table down", func(t *testing.T) { assert.Equal(t, versionAfterCut(t, true, true), uint64(1)) })
	t.Run("off", func(t *testing.T) { assert.Equal(t, versionAfterCut(t, false, false), uint64(0)) })
}
