package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/protocol/head"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/ingress"
	"rosevalve/internal/request/memory"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/roster"
	"rosevalve/platform"
)

const (
	// storeConns bounds the connections to the store.
	storeConns = 16
	// maxStoreResponse bounds one response of the store, in bytes. A page of rows is far smaller.
	maxStoreResponse = 4 << 20
	// maxStoreDialTime is how long a dial of the store goes on, also after the call that waited for it has given up.
	maxStoreDialTime = 3 * time.Second
	// targetAckTimeout is how long data sent to a target may stay unacknowledged, or its receive buffer full, before the
	// connection is closed. A sound target, or its VM, may fall silent for a second or two.
	targetAckTimeout = socket.MaxGap
)

// connect creates the components and connects them to each other.
func (e *Edge) connect() {
	cfg := e.Settings.Edge
	e.load = &loadMeter{cores: cfg.Cores, linkBytes: cfg.LinkMbps * mega / bitsPerByte}
	e.connectStore()
	e.connectConfig()
	e.connectTargets()
	e.connectEvacuations()
	e.connectQuarantine()
	e.connectTokens()
	e.connectFleet()
	e.connectRequests()
}

func (e *Edge) connectStore() {
	e.store = &platform.Store{HTTP: &fasthttp.HostClient{
		Addr:                      e.Settings.Platform.Addr,
		MaxConns:                  storeConns,
		MaxResponseBodySize:       maxStoreResponse,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       10 * time.Second,
		DialTimeout:               e.dialStore,
	}}
}

// dialStore opens a connection to the store within the time that its caller waits for an answer.
func (e *Edge) dialStore(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := socket.Dialer{Timeout: maxStoreDialTime, UserTimeout: socket.MaxGap}
	conn, err := e.storeDialer.Connect(context.Background(), timeout, func(ctx context.Context) (net.Conn, error) { return dialer.Dial(ctx, addr) })
	if err != nil {
		return nil, err
	}
	return &head.Conn{Conn: &socket.ProgressConn{Conn: conn}}, nil
}

// propagateEra passes the era of a store response to all components that keep versions of
// store rows. A new era begins when the store is rolled back.
func (e *Edge) propagateEra(stamp table.Stamp) {
	e.tokens.ObserveEra(stamp)
	e.configTable.ObserveEra(stamp.Era)
	e.targetTable.ObserveEra(stamp.Era)
	e.blockTable.ObserveEra(stamp.Era)
}

func (e *Edge) connectTargets() {
	dialer := socket.Dialer{Timeout: placement.MaxDialTime, UserTimeout: targetAckTimeout}
	e.warmup = e.newWarmup()
	e.placement = &placement.Placement{
		Warmup:         e.warmup,
		Dial:           e.dialTarget(dialer),
		ParseHeader:    platform.DecodeResponseHeader,
		FetchReport:    platform.FetchReport,
		OnHealthChange: e.recordHealth,
		OnNotice:       e.recordNotice,
		OnEngineSpeed:  e.recordEngineSpeed,
		CompareSpeeds:  e.Settings.Edge.TargetSpeeds == "differ",
		Evacuated:      e.evacuations.Contains,
	}
	e.oddTargets = make(map[string]bool)
	e.vagueTargets = make(map[string]bool)
	e.targetTable = e.follow(platform.TableTargets, e.applyTargets)
	e.targetTable.Valid = platform.IsTarget
	e.roster = &roster.Tracker{LastOutageEnd: e.targetTable.RecoveredAt, OnRoster: e.placement.Update}
}

// dialTarget returns a function that dials targets and counts the connections.
func (e *Edge) dialTarget(dialer socket.Dialer) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialer.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return e.targetConns.Count(conn), nil
	}
}

// applyTargets updates the roster with changed target announcements.
func (e *Edge) applyTargets(rows []table.Row, from follow.Source) {
	changes := make([]roster.AnnouncementChange, len(rows))
	for n, r := range rows {
		changes[n] = e.announcementChange(r)
		changes[n].AfterRollback = from.RolledBack
	}
	e.roster.Update(changes)
}

// announcementChange converts a row to a roster change. An instance whose row cannot be decoded
// counts as deleted.
func (e *Edge) announcementChange(r table.Row) roster.AnnouncementChange {
	if r.Deleted {
		delete(e.oddTargets, r.Key)
		delete(e.vagueTargets, r.Key)
		e.Events.Emit(eventlog.TargetGone, "instance", r.Key, "row_version", r.Version)
		return roster.AnnouncementChange{ID: r.Key, Deleted: true}
	}
	i, err := platform.DecodeTarget(r)
	if err != nil {
		e.recordUnreadableTarget(r, err)
		return roster.AnnouncementChange{ID: r.Key, Deleted: true}
	}
	delete(e.oddTargets, r.Key)
	if i.ColdFor > 0 {
		i.ColdUntil = time.Now().Add(i.ColdFor)
	}
	e.recordVagueTarget(r, i)
	e.Events.Emit(eventlog.TargetAnnounced, "instance", r.Key, "addr", i.Addr, "service", i.Service,
		"draining", i.Draining, "cold_ms", i.ColdFor.Milliseconds(), "row_version", r.Version)
	return roster.AnnouncementChange{ID: r.Key, Instance: i}
}

// recordUnreadableTarget logs that a row cannot be decoded, unless its previous version could not
// be either: whoever wrote it may write it again and again.
func (e *Edge) recordUnreadableTarget(r table.Row, err error) {
	if e.oddTargets[r.Key] {
		return
	}
	e.oddTargets[r.Key] = true
	e.Events.Emit(eventlog.TargetUnreadable, "instance", r.Key, "row_version", r.Version, "err", err)
}

// recordVagueTarget logs that a target does not tell whether it is cold, unless its previous row did not
// either.
func (e *Edge) recordVagueTarget(r table.Row, i roster.Instance) {
	if i.TellsCold || e.coldRate(i.Service).PerSecond == 0 {
		delete(e.vagueTargets, r.Key)
		return
	}
	if !e.vagueTargets[r.Key] {
		e.vagueTargets[r.Key] = true
		e.Events.Emit(eventlog.TargetWarmthUnknown, "instance", r.Key, "service", i.Service, "row_version", r.Version)
	}
}

func (e *Edge) connectFleet() {
	cfg := e.Settings
	e.transport = &peer.Transport{Memory: &memory.Budget{Limit: e.peerMemory()}, AllowPlaintext: cfg.Fleet.PlaintextScope == "anywhere", Log: libraryLog{log: e.Events, event: eventlog.PeerConnectionFailed}}
	if cfg.Fleet.UsesTLS() {
		e.transport.Credentials = &peer.Credentials{CertFile: cfg.Fleet.TLSCert, KeyFile: cfg.Fleet.TLSKey, CAFile: cfg.Fleet.TLSCA}
	}
	e.view = &membership.View{
		ExtraSeeds:      func() []string { return e.settings().Fleet.Seeds },
		Interval:        cfg.Fleet.HeartbeatInterval,
		SuspectAfter:    cfg.Fleet.SuspectAfter,
		Call:            e.transport.Call,
		ConfigVersion:   e.planVersion,
		OnConfigVersion: e.notePeerConfigVersion,
		Evacuation:      e.evacuations.Latest,
		OnEvacuation:    e.notePeerEvacuation,
		Impaired:        e.overloaded,
	}
	e.fleet = &entry.Selector{Members: e.view.Members}
	e.withdrawal.Hold = cfg.Edge.WithdrawFor
	e.metrics.addGauge("rosevalve_router_withdrawn", func() float64 { return float64(boolToInt(e.withdrawn.Load())) })
	e.transport.Self = e.view.Self
	e.transport.Handlers = map[string]peer.Handler{
		inner.MethodHeartbeat:          e.view.HandleHeartbeat,
		inner.MethodProbe:              e.view.HandleProbe,
		inner.MethodFollow:             e.handleFollow,
		inner.MethodRequestTransfer:    e.handleRequestTransfer,
		inner.MethodTransfer:           e.handleTransfer,
		inner.MethodDrawHint:           e.handleDrawHint,
		inner.MethodReplicateBounds:    e.handleReplicateBounds,
		inner.MethodFence:              e.handleFence,
		inner.MethodRecentIncarnations: e.handleRecentIncarnations,
		inner.MethodFinalUsage:         e.handleFinalUsage,

		inner.MethodQuarantine: e.handleQuarantineNews,

		inner.MethodMirrorNote:   e.handleMirrorNote,
		inner.MethodMirrorRecall: e.handleMirrorRecall,
	}
	e.view.Join(inner.Member{
		ID:            e.incarnation,
		InnerAddr:     e.innerAddr(),
		CallerAddr:    cfg.Router.Listen,
		FailureDomain: cfg.Router.FailureDomain,
		Region:        cfg.Router.Region,
		Capacity:      e.capacity(),
	})
}

func (e *Edge) connectRequests() {
	e.forwarder = &forward.Forwarder{
		Quarantine:     e.quarantine,
		Crashes:        &crash.Detector{Refuses: socket.Refuses, OnCrash: e.recordCrash},
		Plan:           e.plan.Load,
		PlanOutdated:   e.outdated,
		RegionOf:       e.regionOf,
		Overloaded:     func() bool { return e.lacksDescriptors() || e.refusesForOverload() },
		Tokens:         e.tokens,
		Placement:      e.placement,
		Accepts:        e.admission.Accepts,
		RetryBudget:    &forward.RetryBudget{Limits: e.retryLimits, Window: e.Settings.Edge.RetryWindow},
		BodyMemory:     memory.Budget{Limit: e.bodyMemory()},
		FreeBodyMemory: func() bool { return e.ingress.EndUnread() },
		Encode:         platform.EncodeRequest,
		HasSignature:   platform.HasSignature,
		OnDecision:     e.recordDecision,
	}
	requests := &memory.Budget{Limit: e.requestMemory()}
	e.ingress = &ingress.Server{
		Memory:              requests,
		Owner:               e.owner,
		MaxConns:            e.maxCallers,
		WriteStall:          e.Settings.Edge.WriteStall,
		OnEvicted:           func(r callers.Reason) { e.countClosed("callers", r.String()) },
		Forwarder:           e.forwarder,
		ParseRequest:        platform.DecodeRequest,
		WriteResponseHeader: platform.WriteResponseHeader,
		WriteError:          platform.WriteError,
		Plan:                e.plan.Load,
		OnBytes:             func(n int) { e.load.bytes.Add(int64(n)) },
		ClosingConnections:  func() bool { return e.leaving() || e.load.busy.Load() },
		OnInvalidRequest:    e.recordInvalidRequest,
		OnDenied:            func(err error) { e.Events.Emit(eventlog.SocketOptionDenied, "err", err) },
		Log:                 libraryLog{log: e.Events, event: eventlog.ConnectionFailed},
	}
	e.addMemoryMetrics(requests)
}

// owner returns the workspace of a request whose header was read, and whether its key is valid.
func (e *Edge) owner(h *fasthttp.RequestHeader) (workspace string, valid bool) {
	p := e.plan.Load()
	if p == nil {
		return "", false
	}
	route, ok := p.Route(string(h.Host()), platform.RequestPath(h))
	switch {
	case !ok:
		return "", false
	case !p.RequiresKey() || route.Anonymous:
		return "", true
	}
	w, ok := p.WorkspaceByKey(platform.RequestKey(h))
	if !ok {
		return "", false
	}
	return w.Name, true
}

// innerAddr returns the address at which other routers reach this one.
func (e *Edge) innerAddr() string {
	if addr := e.Settings.Edge.InnerAddress; addr != "" {
		return addr
	}
	return e.Settings.Router.InnerListen
}

// regionOf returns the region of a failure domain, or "" if it is not known.
func (e *Edge) regionOf(domain string) string {
	cfg := e.settings().Router
	if region, ok := cfg.Regions[domain]; ok {
		return region
	}
	if domain == cfg.FailureDomain {
		return cfg.Region
	}
	return ""
}

// reachablePeers returns the inner addresses of the alive and leaving routers, in random order.
func (e *Edge) reachablePeers() []string {
	self := e.innerAddr()
	var out []string
	for _, m := range e.view.Members() {
		if m.InnerAddr != self && (m.State == inner.Alive || m.State == inner.Leaving) {
			out = append(out, m.InnerAddr)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
