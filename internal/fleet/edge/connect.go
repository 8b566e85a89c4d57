package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/fleet/entry"
	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/membership"
	"rosevalve/internal/fleet/peer"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/forward"
	"rosevalve/internal/request/ingress"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/roster"
	"rosevalve/internal/workspace/plan"
	"rosevalve/platform"
)

const (
	storeConns = 16
	// storeAnswer bounds one answer of the store, in bytes. A page of rows is far smaller.
	storeAnswer  = 4 << 20
	storeDial    = 300 * time.Millisecond
	targetDial   = 250 * time.Millisecond
	targetSilent = time.Second
)

// connect builds the parts and joins them.
func (e *Edge) connect() {
	cfg := e.Settings.Edge
	e.load = &loadMeter{cores: cfg.Cores, linkBytes: cfg.LinkMbps * mega / bitsPerByte}
	e.connectStore()
	e.connectPlan()
	e.connectTargets()
	e.connectTokens()
	e.connectFleet()
	e.connectRequests()
}

// dialWith lets the HTTP library dial with a dialer.
func dialWith(d socket.Dialer) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) { return d.Dial(context.Background(), addr) }
}

func (e *Edge) connectStore() {
	dialer := socket.Dialer{Timeout: storeDial, Silence: time.Second}
	e.store = &platform.Store{HTTP: &fasthttp.HostClient{
		Addr:                      e.Settings.Platform.Addr,
		MaxConns:                  storeConns,
		MaxResponseBodySize:       storeAnswer,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       10 * time.Second,
		Dial:                      dialWith(dialer),
	}}
}

// follow returns a follower of one of the platform's tables.
func (e *Edge) follow(name string, onRows func(rows []table.Row, fromCopy bool)) *follow.Table {
	t := &follow.Table{
		Name:   name,
		Read:   e.read,
		Watch:  e.store.Watch,
		Ask:    e.askRows,
		OnRows: onRows,
		OnEra:  e.hearEra,
		OnContact: func(err error, age time.Duration) {
			if err != nil {
				e.Events.Emit(eventlog.StoreLost, "table", name, "age_ms", age.Milliseconds(), "err", err)
				return
			}
			e.Events.Emit(eventlog.StoreRegained, "table", name, "away_ms", age.Milliseconds())
		},
	}
	t.Prepare()
	return t
}

// hearEra tells all that hold versions of the store in which era it has answered.
func (e *Edge) hearEra(stamp table.Stamp) {
	e.purse.HearEra(stamp)
	e.config.EraBegan(stamp.Era)
	e.targets.EraBegan(stamp.Era)
}

func (e *Edge) connectPlan() {
	e.config = e.follow(platform.TableOperator, e.takePlan)
	e.config.Newer = platform.NewerConfig
}

// planVersion returns the version of the configuration in force; 0 if there is none.
func (e *Edge) planVersion() uint64 {
	if p := e.plan.Load(); p != nil {
		return p.Version()
	}
	return 0
}

// hearPlanVersion notes that the router at an address has a configuration of a version.
func (e *Edge) hearPlanVersion(addr string, version uint64) {
	if version > e.planVersion() {
		e.config.HeardFrom(addr)
	}
}

// takePlan takes over a configuration that is newer than the one in force.
func (e *Edge) takePlan(rows []table.Row, _ bool) {
	for _, r := range rows {
		if !platform.IsConfig(r) || r.Deleted {
			continue
		}
		cfg, err := platform.Config(r)
		if err != nil {
			e.Events.Emit(eventlog.PlanUnreadable, "row_version", r.Version, "err", err)
			continue
		}
		if old := e.plan.Load(); old != nil && old.Version() >= cfg.Version {
			continue
		}
		e.plan.Store(plan.New(cfg))
		e.Events.Emit(eventlog.PlanInForce, "plan_version", cfg.Version, "row_version", r.Version,
			"routes", len(cfg.Routes), "workspaces", len(cfg.Workspaces), "from_peers", e.config.Failing())
	}
}

func (e *Edge) connectTargets() {
	dialer := socket.Dialer{Timeout: targetDial, Silence: targetSilent}
	e.placement = &placement.Placement{
		Dial:     dialer.Dial,
		Identify: platform.Identify,
		Ask:      platform.Report,
		OnHealth: e.noteHealth,
		OnNotice: e.noteNotice,
		OnPace:   e.notePace,
	}
	e.targets = e.follow(platform.TableTargets, e.takeTargets)
	e.keeper = &roster.Keeper{Regained: e.targets.Regained, OnRoster: e.placement.Update}
}

// takeTargets takes over what targets have announced.
func (e *Edge) takeTargets(rows []table.Row, fromCopy bool) {
	changes := make([]roster.Change, len(rows))
	for n, r := range rows {
		changes[n] = e.targetChange(r)
		changes[n].FromCopy = fromCopy
	}
	e.keeper.Update(changes)
}

// targetChange tells what a row says about an instance. One that can not be read counts
// as gone.
func (e *Edge) targetChange(r table.Row) roster.Change {
	if r.Deleted {
		e.Events.Emit(eventlog.TargetGone, "instance", r.Key, "row_version", r.Version)
		return roster.Change{ID: r.Key, Gone: true}
	}
	i, err := platform.Target(r)
	if err != nil {
		e.Events.Emit(eventlog.TargetUnreadable, "instance", r.Key, "row_version", r.Version, "err", err)
		return roster.Change{ID: r.Key, Gone: true}
	}
	e.Events.Emit(eventlog.TargetAnnounced, "instance", r.Key, "addr", i.Addr, "service", i.Service,
		"draining", i.Draining, "row_version", r.Version)
	return roster.Change{ID: r.Key, Instance: i}
}

func (e *Edge) connectFleet() {
	cfg := e.Settings
	e.links = &peer.Links{AllowClear: cfg.Fleet.Clear == "anywhere", Log: libraryLog{log: e.Events, event: eventlog.PeerConnectionFailed}}
	if cfg.Fleet.Secured() {
		e.links.Credentials = &peer.Credentials{CertFile: cfg.Fleet.TLSCert, KeyFile: cfg.Fleet.TLSKey, CAFile: cfg.Fleet.TLSCA}
	}
	e.view = &membership.View{
		Contacts:        func() []string { return e.settings().Fleet.Seeds },
		Interval:        cfg.Fleet.HeartbeatInterval,
		SuspectAfter:    cfg.Fleet.SuspectAfter,
		Call:            e.links.Call,
		ConfigVersion:   e.planVersion,
		OnConfigVersion: e.hearPlanVersion,
	}
	e.fleet = &entry.Fleet{Members: e.view.Members}
	e.links.Self = e.view.Self
	e.links.Handlers = map[string]peer.Handler{
		inner.MethodHeartbeat: e.view.HandleHeartbeat,
		inner.MethodProbe:     e.view.HandleProbe,
		inner.MethodFollow:    e.handleFollow,
		inner.MethodGive:      e.handleGive,
		inner.MethodTake:      e.handleTake,
		inner.MethodInvite:    e.handleInvite,

		inner.MethodMirrorNote:   e.handleMirrorNote,
		inner.MethodMirrorRecall: e.handleMirrorRecall,
	}
	e.view.Join(inner.Member{
		ID:            e.life,
		InnerAddr:     e.innerAddr(),
		CallerAddr:    cfg.Router.Listen,
		FailureDomain: cfg.Router.FailureDomain,
		Region:        cfg.Router.Region,
		Capacity:      e.capacity(),
	})
}

func (e *Edge) connectRequests() {
	e.forwarder = &forward.Forwarder{
		Plan:       e.plan.Load,
		Purse:      e.purse,
		Placement:  e.placement,
		Retries:    &forward.Retries{Terms: e.retryTerms, Window: e.Settings.Edge.RetryWindow},
		Bodies:     forward.Bodies{Bytes: e.bodyMemory()},
		Encode:     platform.Attempt,
		Genuine:    platform.Genuine,
		OnDecision: e.noteDecision,
	}
	e.ingress = &ingress.Server{
		Forwarder: e.forwarder,
		Request:   platform.Request,
		Relay:     platform.Relay,
		Refuse:    platform.Refuse,
		Plan:      e.plan.Load,
		OnBytes:   func(n int) { e.load.bytes.Add(int64(n)) },
		Leaving:   func() bool { return e.leaving.Load() || e.load.busy.Load() },
		OnUnread:  e.noteUnread,
		Log:       libraryLog{log: e.Events, event: eventlog.ConnectionFailed},
	}
}

// innerAddr is where other routers reach this one.
func (e *Edge) innerAddr() string {
	if addr := e.Settings.Edge.InnerAddress; addr != "" {
		return addr
	}
	return e.Settings.Router.InnerListen
}

// others lists the inner addresses of routers that live, from a random one on.
func (e *Edge) others() []string {
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

// askRows asks a router, or any if addr is empty, for the rows of a followed table.
func (e *Edge) askRows(ctx context.Context, addr string, in inner.FollowRequest) (inner.FollowResponse, error) {
	var out inner.FollowResponse
	if addr == "" {
		others := e.others()
		if len(others) == 0 {
			others = e.settings().Fleet.Seeds
		}
		if len(others) == 0 {
			return out, errors.New("no other router is known")
		}
		addr = others[rand.IntN(len(others))]
	}
	err := e.links.Call(ctx, addr, inner.MethodFollow, in, &out)
	return out, err
}

func (e *Edge) handleFollow(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.FollowRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode question for rows: %w", err)
	}
	for _, t := range []*follow.Table{e.config, e.targets} {
		if t.Name == in.Table {
			return t.Answer(in), nil
		}
	}
	return nil, fmt.Errorf("table %q is not followed", in.Table)
}
