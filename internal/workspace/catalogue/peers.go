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
	gossipFanOut     = 3                      // peers asked in a periodic round
	newVersionFanOut = 6                      // peers that a newly installed version is announced to
	bootstrapFanOut  = 64                     // peers asked by a router without a configuration
	bootstrapDelay   = 2 * time.Second        // time for the first read of a slow table before peers are asked instead
	confirmTimeout   = 500 * time.Millisecond // of a table read before a peer is answered
)

// ObserveVersion records that some router has the version. If this router does not have it yet, a
// gossip round starts at once.
func (c *Catalogue) ObserveVersion(version uint64) {
	if version <= c.Current().Version() {
		return
	}
	for {
		highest := c.highestReported.Load()
		if version <= highest || c.highestReported.CompareAndSwap(highest, version) {
			break
		}
	}
	c.triggerGossip()
}

// ObservePeerVersion records that the router at the inner address has the version. If it is higher
// than the current one, the next gossip round asks only that router, provided that Peers
// contains it.
func (c *Catalogue) ObservePeerVersion(innerAddr string, version uint64) {
	if version <= c.Current().Version() {
		return
	}
	c.peerAhead.Store(&innerAddr)
	c.ObserveVersion(version)
}

// triggerGossip starts a gossip round without waiting for the interval; it does not block.
func (c *Catalogue) triggerGossip() {
	trigger := c.gossipTrigger.Load()
	if trigger == nil {
		return
	}
	select {
	case *trigger <- struct{}{}:
	default:
	}
}

// runGossip runs gossip rounds, periodically and on each trigger, until ctx ends. Only a
// round that calls Refresh waits for the table.
func (c *Catalogue) runGossip(ctx context.Context, trigger <-chan struct{}) {
	interval := c.GossipInterval
	if interval == 0 {
		interval = defaultGossipInterval
	}
	wait := c.initialDelay(interval)
	startedAt := time.Now()
	for {
		c.gossipRound(ctx, startedAt)
		select {
		case <-ctx.Done():
			return
		case <-trigger:
		case <-time.After(wait):
		}
		wait = interval
	}
}

// gossipRound asks the selected peers for changes after the current version and installs
// the response with the highest version. A router without a configuration asks no peer
// until bootstrapDelay after startedAt, unless a poll of the table has failed.
func (c *Catalogue) gossipRound(ctx context.Context, startedAt time.Time) {
	base := c.Current()
	in := inner.ConfigurationRequest{From: c.Addr, Version: base.version, Whole: c.pollFailed.Load() || c.needsFullCopy.Load()}
	if !c.Ready() {
		if !c.pollFailed.Load() && time.Since(startedAt) < bootstrapDelay {
			return // prefers the table, because peers may be outdated
		}
		in.Confirm, in.Whole = true, true
	}
	best := c.queryHighest(ctx, c.selectPeers(base.version), in)
	if best.Version > base.version || (best.Ready && !c.Ready()) {
		c.needsFullCopy.Store(!c.installResponse(base, best))
	}
	if c.highestReported.Load() > c.Current().Version() && c.pollInterval() <= max(c.PollInterval, defaultPollInterval) {
		if err := c.Refresh(ctx); err != nil {
			c.reportError(err)
		}
	}
	if c.announcePending.Load() {
		c.triggerGossip() // the announcement of the installed version is still pending
	}
}

// selectPeers returns the router that reported a version higher than this one, or else the
// next peers of the rotation, which asks every peer within a bounded number of rounds.
func (c *Catalogue) selectPeers(version uint64) []string {
	peers := slices.Clone(c.Peers())
	slices.Sort(peers)
	if peerAhead := c.peerAhead.Swap(nil); peerAhead != nil && c.highestReported.Load() > version && slices.Contains(peers, *peerAhead) {
		return []string{*peerAhead}
	}
	count := gossipFanOut
	switch {
	case !c.Ready():
		count = bootstrapFanOut
	case c.announcePending.Swap(false):
		count = newVersionFanOut
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

// queryHighest asks the routers concurrently and returns the response with the highest
// version among those that are ready, or a zero response.
func (c *Catalogue) queryHighest(ctx context.Context, addrs []string, in inner.ConfigurationRequest) inner.ConfigurationResponse {
	answers := make([]inner.ConfigurationResponse, len(addrs))
	var wait sync.WaitGroup
	for i, addr := range addrs {
		wait.Go(func() {
			out, err := c.QueryPeer(ctx, addr, in)
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

// installResponse installs the response of a peer to a request with the version of base.
// It returns false and installs nothing if the changes do not lead from base to the
// version of the response without a gap.
func (c *Catalogue) installResponse(base *Snapshot, out inner.ConfigurationResponse) bool {
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
	c.install(base.withChanges(out.Changes))
	return true
}

// HandlePeer decodes a configuration request of another router and returns the response.
func (c *Catalogue) HandlePeer(ctx context.Context, params json.RawMessage) (any, error) {
	var in inner.ConfigurationRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode configuration request: %w", err)
	}
	return c.Answer(ctx, in), nil
}

// Answer returns the changes after the version in the request. If some of these are no
// longer kept, it returns all items if in.Whole is set, and otherwise only its version.
// If in.Confirm is set, it reads the table first.
func (c *Catalogue) Answer(ctx context.Context, in inner.ConfigurationRequest) inner.ConfigurationResponse {
	c.ObservePeerVersion(in.From, in.Version)
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
	changes, complete := s.changesSince(in.Version)
	if complete {
		out.Changes = changes
	} else if in.Whole {
		out.Whole = true
		out.Items = s.Items()
	}
	return out
}
