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

// connectFleet builds the links to other routers and the view of them.
func (r *Router) connectFleet() {
	cfg := r.Settings
	r.links = &peer.Links{AllowClear: cfg.Fleet.Clear == "anywhere"}
	if cfg.Fleet.Secured() {
		r.links.Credentials = &peer.Credentials{CertFile: cfg.Fleet.TLSCert, KeyFile: cfg.Fleet.TLSKey, CAFile: cfg.Fleet.TLSCA}
	}
	r.view = &membership.View{
		Seeds:        cfg.Fleet.Seeds,
		Interval:     cfg.Fleet.HeartbeatInterval,
		SuspectAfter: cfg.Fleet.SuspectAfter,
		Call:         r.links.Call,
		Contacts:     r.listedRouters,
		ConfigVersion: func() uint64 {
			return r.catalogue.Current().Version()
		},
		OnConfigVersion: r.catalogue.HeardFrom,
	}
	client := &vmlist.Client{Addr: cfg.Platform.Addr, HTTP: r.platform}
	r.vms = &vmlist.Watcher{
		List:    client.List,
		OnError: func(err error) { r.Log.Warn("read VM list", "err", err) },
	}
	r.links.Self = r.view.Self
	r.links.Handlers = map[string]peer.Handler{
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

// listedRouters returns the inner addresses that routers on the listed VMs would have.
func (r *Router) listedRouters() []string {
	own, err := netip.ParseAddrPort(r.Settings.Router.InnerListen)
	if err != nil {
		return nil
	}
	return r.vms.Addrs(own.Port())
}

// entries lists the routers that take new callers. Those on a VM that the lagging list
// calls leaving are left out while there are others.
func (r *Router) entries() []entry.Entry {
	var out, listed []entry.Entry
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
		if r.vms.Leaving(m.InnerAddr) || r.vms.Leaving(m.CallerAddr) {
			listed = append(listed, e)
			continue
		}
		out = append(out, e)
	}
	if len(out) == 0 {
		return listed
	}
	return out
}

// relays lists routers that may reach the table, those of other failure domains
// first, from a random place on, so that not all ask the same ones.
func (r *Router) relays() []string {
	members := r.view.Members()
	own := r.view.Self()
	var near, far []string
	begin := rand.IntN(len(members))
	for i := range members {
		m := members[(begin+i)%len(members)]
		switch {
		case m.State != inner.Alive || m.ID == own.ID:
		case m.FailureDomain == own.FailureDomain:
			near = append(near, m.InnerAddr)
		default:
			far = append(far, m.InnerAddr)
		}
	}
	return append(far, near...)
}

// entriesFor answers a caller in its own order. A caller may name itself and its region.
func (r *Router) entriesFor(ctx *fasthttp.RequestCtx) entry.Answer {
	caller := string(ctx.QueryArgs().Peek("caller"))
	if caller == "" {
		caller = ctx.RemoteIP().String() + "|" + string(ctx.Request.Header.Peek("Authorization"))
	}
	return r.directory.Answer(caller, string(ctx.QueryArgs().Peek("region")))
}

func (r *Router) routerRows() [][]string {
	var out [][]string
	for _, m := range r.view.Members() {
		out = append(out, []string{m.ID, m.CallerAddr, m.FailureDomain, m.State.String()})
	}
	return out
}
