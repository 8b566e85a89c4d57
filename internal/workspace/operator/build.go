package operator

import (
	"net/netip"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"rosevalve/internal/workspace/catalogue"
)

const (
	maxWeight   = 1000
	maxLimit    = 1 << 40
	minKeyChars = 16
	maxChars    = 200
)

// buildItem applies a command's settings to the item as it is now, or to a new one.
func buildItem(now *catalogue.Snapshot, kind catalogue.Kind, s *ChangeStatement) (catalogue.Item, error) {
	if s.Name == "" || len(s.Name) > maxChars || strings.ContainsAny(s.Name, "/ \t\n\"") {
		return catalogue.Item{}, errorf(s.Pos, "name %q is empty, too long, or has a slash, a space or a quote", s.Name)
	}
	set, err := newSettings(s.Settings)
	if err != nil {
		return catalogue.Item{}, err
	}
	b := builder{now: now, pos: s.Pos, name: s.Name, set: set}
	var value any
	switch kind {
	case catalogue.KindWorkspace:
		value, err = b.workspace()
	case catalogue.KindTarget:
		value, err = b.target()
	case catalogue.KindService:
		value, err = b.service()
	case catalogue.KindModel:
		value, err = b.model()
	case catalogue.KindOperator:
		value, err = b.operator()
	}
	if err != nil {
		return catalogue.Item{}, err
	}
	return catalogue.NewItem(kind, s.Name, value)
}

// builder checks the settings of one item.
type builder struct {
	now  *catalogue.Snapshot
	pos  lexer.Position
	name string
	set  *settings
}

func (b *builder) workspace() (catalogue.Workspace, error) {
	w, exists := b.now.Workspace(b.name)
	if !exists {
		w = catalogue.Workspace{Name: b.name, Weight: 1}
	}
	b.set.number("weight", 1, maxWeight, &w.Weight)
	b.set.number("max_concurrent", 0, maxLimit, &w.MaxConcurrent)
	b.set.number("max_tokens", 0, maxLimit, &w.MaxTokens)
	b.set.number("requests_per_minute", 0, maxLimit, &w.RequestsPerMinute)
	b.set.number("tokens_per_minute", 0, maxLimit, &w.TokensPerMinute)
	hashes, err := b.keys(exists, w.KeyHashes)
	if err != nil {
		return w, err
	}
	w.KeyHashes = hashes
	return w, b.set.finish("weight, max_concurrent, max_tokens, requests_per_minute, tokens_per_minute, key")
}

func (b *builder) operator() (catalogue.Operator, error) {
	o, exists := b.now.Operator(b.name)
	if !exists {
		o = catalogue.Operator{Name: b.name}
	}
	role := o.Role.String()
	if pos, ok := b.set.text("role", &role); ok {
		r, err := catalogue.ParseRole(role)
		if err != nil {
			return o, errorf(pos, "%v", err)
		}
		o.Role = r
	}
	hashes, err := b.keys(exists, o.KeyHashes)
	if err != nil {
		return o, err
	}
	o.KeyHashes = hashes
	return o, b.set.finish("role, key")
}

// keys returns the hashes of a new thing's key; an existing one is given a key by rotation.
func (b *builder) keys(exists bool, hashes []string) ([]string, error) {
	var key string
	pos, given := b.set.text("key", &key)
	switch {
	case given && exists:
		return nil, errorf(pos, "key is changed with: rotate key")
	case given:
		hash, err := newKey(b.now, pos, key)
		return []string{hash}, err
	case !exists:
		return nil, errorf(b.pos, "%q needs a key of at least %d characters", b.name, minKeyChars)
	default:
		return hashes, nil
	}
}

// newKey returns the hash of a key that nobody uses yet.
func newKey(now *catalogue.Snapshot, pos lexer.Position, key string) (string, error) {
	if len(key) < minKeyChars || len(key) > maxChars || strings.ContainsAny(key, " \t\n") {
		return "", errorf(pos, "key has fewer than %d or more than %d characters, or a space", minKeyChars, maxChars)
	}
	if now.KeyInUse(key) {
		return "", errorf(pos, "key is in use already")
	}
	return catalogue.HashKey(key), nil
}

func (b *builder) target() (catalogue.Target, error) {
	t, exists := b.now.Target(b.name)
	if !exists {
		t = catalogue.Target{Addr: b.name}
	}
	if _, err := netip.ParseAddrPort(b.name); err != nil {
		return t, errorf(b.pos, "target %q is not an IP address and a port", b.name)
	}
	b.set.text("failure_domain", &t.FailureDomain)
	b.set.list("models", &t.Models)
	servicePos, given := b.set.text("service", &t.Service)
	b.set.number("capacity", 0, maxLimit, &t.Capacity)
	b.set.truth("leaving", &t.Leaving)
	b.set.truth("checks_fencing", &t.ChecksFencing)
	if err := b.set.finish("failure_domain, models, service, capacity, leaving, checks_fencing"); err != nil {
		return t, err
	}
	if given && t.Service != "" {
		if _, ok := b.now.Service(t.Service); !ok {
			return t, errorf(servicePos, "service %q does not exist", t.Service)
		}
	}
	if (len(t.Models) == 0) == (t.Service == "") {
		return t, errorf(b.pos, "target %q needs either models or a service", b.name)
	}
	return t, nil
}

func (b *builder) model() (catalogue.Model, error) {
	m, exists := b.now.Model(b.name)
	if !exists {
		m = catalogue.Model{Name: b.name}
	}
	b.set.number("max_tokens", 0, maxLimit, &m.MaxTokens)
	return m, b.set.finish("max_tokens")
}

func (b *builder) service() (catalogue.Service, error) {
	v, exists := b.now.Service(b.name)
	if !exists {
		v = catalogue.Service{Name: b.name, TokensPerCall: 1}
	}
	b.set.number("tokens_per_call", 0, maxLimit, &v.TokensPerCall)
	var route string
	pos, given := b.set.text("route", &route)
	if given {
		return v, b.route(&v, pos, route)
	}
	var idempotent []string
	b.set.list("idempotent", &idempotent)
	if err := b.set.finish("tokens_per_call, idempotent, route"); err != nil {
		return v, err
	}
	for _, text := range idempotent {
		r, err := parseRoute(b.pos, text)
		if err != nil {
			return v, err
		}
		r.Idempotent = true
		v.Routes = replaceRoute(v.Routes, r)
	}
	return v, nil
}

// route sets whether the calls of one route may be repeated.
func (b *builder) route(v *catalogue.Service, pos lexer.Position, text string) error {
	r, err := parseRoute(pos, text)
	if err != nil {
		return err
	}
	b.set.truth("idempotent", &r.Idempotent)
	if err := b.set.finish("tokens_per_call, route with idempotent = true or false"); err != nil {
		return err
	}
	v.Routes = replaceRoute(v.Routes, r)
	return nil
}

// parseRoute reads a route like "GET /stock".
func parseRoute(pos lexer.Position, text string) (catalogue.Route, error) {
	method, path, ok := strings.Cut(text, " ")
	if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#") {
		return catalogue.Route{}, errorf(pos, "route %q is not a method and a path, like \"GET /stock\"", text)
	}
	return catalogue.Route{Method: method, Path: path}, nil
}

// replaceRoute returns new routes; those of the snapshot in force stay as they are.
func replaceRoute(routes []catalogue.Route, r catalogue.Route) []catalogue.Route {
	var out []catalogue.Route
	for _, old := range routes {
		if old.Method != r.Method || old.Path != r.Path {
			out = append(out, old)
		}
	}
	return append(out, r)
}
