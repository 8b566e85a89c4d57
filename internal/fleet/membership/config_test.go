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

const never = 100 * 365 * 24 * time.Hour // between polls, and between questions to peers

// configured is two routers whose heartbeats alone tell of a new version.
type configured struct {
	net   *network
	store *platform.Store
	cats  map[string]*catalogue.Catalogue // by inner address
	down  atomic.Bool                     // the second router does not reach the table
}

func newConfigured(seed uint64) *configured {
	f := &configured{net: newNetwork(seed), store: platform.NewStore(), cats: make(map[string]*catalogue.Catalogue)}
	f.net.config = make(map[string]func(ctx context.Context, params json.RawMessage) (any, error))
	f.add(addrOf(0), addrOf(1), &atomic.Bool{})
	f.add(addrOf(1), addrOf(0), &f.down)
	return f
}

func (f *configured) add(addr, peer string, down *atomic.Bool) {
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
		AskPeer: func(ctx context.Context, to string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
			return f.ask(ctx, addr, to, in)
		},
	}
	f.cats[addr] = c
	f.net.config[addr] = c.HandlePeer
}

func (f *configured) ask(ctx context.Context, from, to string, in inner.ConfigurationRequest) (inner.ConfigurationResponse, error) {
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

// start runs the routers and waits until they know each other.
func (f *configured) start(ctx context.Context, listen bool) {
	for i := range 2 {
		c := f.cats[addrOf(i)]
		f.net.adjust = func(v *View) {
			v.ConfigVersion = func() uint64 { return c.Current().Version() }
			if listen {
				v.OnConfigVersion = c.HeardFrom
			}
		}
		f.net.start(addrOf(i), addrOf(i), 1, addrOf(0))
		go func() { _ = c.Run(ctx) }()
	}
	time.Sleep(settle)
}

// behindCut returns the second router's version, some beats after a cut during which the first accepted a change.
func behindCut(t *testing.T, listen, down bool) uint64 {
	t.Helper()
	var version uint64
	synctest.Test(t, func(t *testing.T) {
		f := newConfigured(3)
		f.start(t.Context(), listen)
		f.net.cut(addrOf(0), addrOf(1), true)
		item, err := catalogue.NewItem(catalogue.KindWorkspace, "gorenjska", catalogue.Workspace{Name: "gorenjska", Weight: 2})
		assert.NilError(t, err)
		accepted, err := f.cats[addrOf(0)].Accept(t.Context(), 0, catalogue.Change{CommandID: "a", Operator: "ana", Items: []catalogue.Item{item}})
		assert.NilError(t, err)
		assert.Equal(t, accepted, uint64(1))
		f.down.Store(down)
		time.Sleep(2 * probeTimeout)
		f.net.cut(addrOf(0), addrOf(1), false)
		time.Sleep(5 * time.Second)
		version = f.cats[addrOf(1)].Current().Version()
		f.net.killAll()
	})
	return version
}

func TestHeartbeatTellsOfConfiguration(t *testing.T) {
	t.Run("table well", func(t *testing.T) { assert.Equal(t, behindCut(t, true, false), uint64(1)) })
	t.Run("table down", func(t *testing.T) { assert.Equal(t, behindCut(t, true, true), uint64(1)) })
	t.Run("off", func(t *testing.T) { assert.Equal(t, behindCut(t, false, false), uint64(0)) })
}
