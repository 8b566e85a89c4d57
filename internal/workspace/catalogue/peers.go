package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	gossipFanOut   = 3
	spreadFanOut   = 6               // behind a new version
	joinPeers      = 64              // routers asked by one that has no configuration
	joinAfter      = 2 * time.Second // wait for a slow table before other routers are asked
	confirmTimeout = 500 * time.Millisecond
)

// Heard tells that a router somewhere has the version; the catalogue then looks for it at once.
func (c *Catalogue) Heard(version uint64) {
	if version <= c.Current().Version() {
		return
	}
	for {
		known := c.heard.Load()
		if version <= known || c.heard.CompareAndSwap(known, version) {
			break
		}
	}
	c.wakePeers()
}

// HeardFrom tells that the router at the inner address has the version; that router is asked first.
func (c *Catalogue) HeardFrom(innerAddr string, version uint64) {
	if version <= c.Current().Version() {
		return
	}
	c.teller.Store(&innerAddr)
	c.Heard(version)
}

func (c *Catalogue) wakePeers() {
	wake := c.wake.Load()
	if wake == nil {
		return
	}
	select {
	case *wake <- struct{}{}:
	default:
	}
}

// pollPeers asks other routers until ctx ends; it never waits for the table.
func (c *Catalogue) pollPeers(ctx context.Context, wake <-chan struct{}) {
	interval := c.GossipInterval
	if interval == 0 {
		interval = defaultGossipInterval
	}
	wait := c.phase(interval)
	began := time.Now()
	for {
		c.askPeers(ctx, began)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-time.After(wait):
		}
		wait = interval
	}
}

// askPeers asks a few routers, in rotation, or many while there is no configuration.
func (c *Catalogue) askPeers(ctx context.Context, began time.Time) {
	base := c.Current()
	in := inner.ConfigurationRequest{From: c.Addr, Version: base.version, Whole: c.outage.Load() || c.behind.Load()}
	if !c.Ready() {
		if !c.outage.Load() && time.Since(began) < joinAfter {
			return // the table goes before peers, which may be behind
		}
		in.Confirm, in.Whole = true, true
	}
	best := c.askHighest(ctx, c.nextPeers(base.version), in)
	if best.Version > base.version || (best.Ready && !c.Ready()) {
		c.behind.Store(!c.take(base, best))
	}
	if c.heard.Load() > c.Current().Version() && c.pollInterval() <= max(c.PollInterval, defaultPollInterval) {
		if err := c.Refresh(ctx); err != nil {
			c.report(err)
		}
	}
	if c.fresh.Load() {
		c.wakePeers() // the round behind the install is still to come
	}
}

// nextPeers returns the router that named a version higher than this one, or the next ones of the rotation, so that each is asked in a bounded number of rounds.
func (c *Catalogue) nextPeers(version uint64) []string {
	peers := slices.Clone(c.Peers())
	slices.Sort(peers)
	if teller := c.teller.Swap(nil); teller != nil && c.heard.Load() > version && slices.Contains(peers, *teller) {
		return []string{*teller}
	}
	count := gossipFanOut
	switch {
	case !c.Ready():
		count = joinPeers
	case c.fresh.Swap(false):
		count = spreadFanOut
	}
	if len(peers) <= count {
		return peers
	}
	start := c.cursor.Add(uint64(count))
	out := make([]string, 0, count)
	for i := range uint64(count) {
		out = append(out, peers[(start+i)%uint64(len(peers))])
	}
	return out
}

// askHighest asks the routers at once and returns the answer with the highest version.
func (c *Catalogue) askHighest(ctx context.Context, addrs []string, in inner.ConfigurationRequest) inner.ConfigurationResponse {
	answers := make([]inner.ConfigurationResponse, len(addrs))
	var wait sync.WaitGroup
	for i, addr := range addrs {
		wait.Go(func() {
			out, err := c.AskPeer(ctx, addr, in)
			if err == nil && out.Ready {
				answers[i] = out
			}
		})
	}
	wait.Wait()
	var best inner.ConfigurationResponse
	for _, a := range answers {
		if !best.Ready || a.Version > best.Version {
			best = a
		}
	}
	return best
}

// take installs what a router sent as newer than base, and reports whether that was complete.
func (c *Catalogue) take(base *Snapshot, out inner.ConfigurationResponse) bool {
	if out.Whole {
		c.install(newSnapshot(out.Version, out.Items))
		return true
	}
	last := base.version
	for _, ch := range out.Changes {
		if !c.inSequence(last, ch.Version) {
			return false
		}
		last = ch.Version
	}
	if last != out.Version {
		return false
	}
	c.install(base.with(out.Changes))
	return true
}

// HandlePeer answers another router's question.
func (c *Catalogue) HandlePeer(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.ConfigurationRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode configuration request: %w", err)
	}
	return c.Answer(ctx, in), nil
}

// Answer returns what this router has beyond the version asked for.
func (c *Catalogue) Answer(ctx context.Context, in inner.ConfigurationRequest) inner.ConfigurationResponse {
	c.HeardFrom(in.From, in.Version)
	confirmed := false
	if in.Confirm {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		confirmed = c.Refresh(ctx) == nil
	}
	ready := c.Ready()
	s := c.Current()
	out := inner.ConfigurationResponse{Version: s.version, Ready: ready, Confirmed: confirmed}
	if in.Version >= s.version {
		return out
	}
	changes, complete := s.since(in.Version)
	if complete {
		out.Changes = changes
	} else if in.Whole {
		out.Whole = true
		out.Items = s.Items()
	}
	return out
}
