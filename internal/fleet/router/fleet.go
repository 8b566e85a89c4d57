package router

import (
	"math/rand/v2"
	"net/netip"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/protocol/inner"
)

// buildFleet builds the connections to other routers, the membership view and the
// directory of routers for callers.
func (r *Router) buildFleet() {
	cfg := r.Settings
	r.peers = &peer.Transport{AllowPlaintext: cfg.Fleet.PlaintextScope == "anywhere"}
	if cfg.Fleet.UsesTLS() {
		r.peers.Credentials = &peer.Credentials{CertFile: cfg.Fleet.TLSCert, KeyFile: cfg.Fleet.TLSKey, CAFile: cfg.Fleet.TLSCA}
	}
	r.view = &membership.View{
		Seeds:        cfg.Fleet.Seeds,
		Interval:     cfg.Fleet.HeartbeatInterval,
		SuspectAfter: cfg.Fleet.SuspectAfter,
		Call:         r.peers.Call,
		ExtraSeeds:   r.vmRouterAddrs,
		ConfigVersion: func() uint64 {
			return r.catalogue.Current().Version()
		},
		OnConfigVersion: r.catalogue.ObservePeerVersion,
	}
	client := &vmlist.Client{Addr: cfg.Platform.Addr, HTTP: r.platformHTTP}
	r.vmWatcher = &vmlist.Watcher{
		List:    client.List,
		OnError: func(err error) { r.Log.Warn("VM list not read", "err", err) },
	}
	r.peers.Self = r.view.Self
	r.peers.Handlers = map[string]peer.Handler{
		inner.MethodHeartbeat:     r.view.HandleHeartbeat,
		inner.MethodProbe:         r.view.HandleProbe,
		inner.MethodWitnessAppend: r.handleAppend,
		inner.MethodWitnessSeal:   r.handleSeal,
		inner.MethodRecall:        r.handleRecall,
		inner.MethodConfiguration: r.catalogue.HandlePeer,
		inner.MethodTableCommit:   r.table.HandleCommit,
		inner.MethodTableGet:      r.table.HandleGet,
		inner.MethodTableScan:     r.table.HandleScan,
	}
	r.view.Join(inner.Member{
		ID:            r.id,
		InnerAddr:     cfg.Router.InnerListen,
		CallerAddr:    cfg.Router.Listen,
		FailureDomain: cfg.Router.FailureDomain,
		Region:        cfg.Router.Region,
	})
	r.directory = &entry.Directory{Routers: r.entries, MaxAge: cfg.Router.EntryMaxAge}
}

// vmRouterAddrs returns an inner address for each VM in the platform's list, with the
// port of this router's own inner address. A router need not run there.
func (r *Router) vmRouterAddrs() []string {
	own, err := netip.ParseAddrPort(r.Settings.Router.InnerListen)
	if err != nil {
		return nil
	}
	return r.vmWatcher.Addrs(own.Port())
}

// entries returns the routers that accept new callers. Routers on VMs that the platform's
// list marks as leaving are included only if there are no others, since the list may
// lag behind.
func (r *Router) entries() []entry.Entry {
	var out, onLeavingVMs []entry.Entry
	for _, m := range r.view.Members() {
		if m.State != inner.Alive {
			continue
		}
		e := entry.Entry{
			URL:           "http://" + m.CallerAddr,
			FailureDomain: m.FailureDomain,
			Region:        m.Region,
			Busy:          m.Busy,
		}
		if r.vmWatcher.Leaving(m.InnerAddr) || r.vmWatcher.Leaving(m.CallerAddr) {
			onLeavingVMs = append(onLeavingVMs, e)
			continue
		}
		out = append(out, e)
	}
	if len(out) == 0 {
		return onLeavingVMs
	}
	return out
}

// relayCandidates returns the inner addresses of the other live routers, which may reach
// the table when this one cannot. Other failure domains come first. The order starts at
// a random member, which spreads relayed operations over the routers.
func (r *Router) relayCandidates() []string {
	members := r.view.Members()
	own := r.view.Self()
	var sameDomain, otherDomains []string
	start := rand.IntN(len(members))
	for i := range members {
		m := members[(start+i)%len(members)]
		switch {
		case m.State != inner.Alive || m.ID == own.ID:
		case m.FailureDomain == own.FailureDomain:
			sameDomain = append(sameDomain, m.InnerAddr)
		default:
			otherDomains = append(otherDomains, m.InnerAddr)
		}
	}
	return append(otherDomains, sameDomain...)
}

// entriesForCaller returns the routers that the caller may use, in an order that depends
// on the caller. The query parameters "caller" and "region" are optional; without
// "caller", the IP address and the key identify the caller.
func (r *Router) entriesForCaller(ctx *fasthttp.RequestCtx) entry.Answer {
	caller := string(ctx.QueryArgs().Peek("caller"))
	if caller == "" {
		caller = ctx.RemoteIP().String() + "|" + string(ctx.Request.Header.Peek("Authorization"))
	}
	return r.directory.Order(caller, string(ctx.QueryArgs().Peek("region")))
}

// routerRows returns the cells of routerTable, one row per router.
func (r *Router) routerRows() [][]string {
	var out [][]string
	for _, m := range r.view.Members() {
		out = append(out, []string{m.ID, m.CallerAddr, m.FailureDomain, m.State.String()})
	}
	return out
}
