package operator

import (
	"net/netip"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"rosevalve/internal/workspace/catalogue"
)

const (
	maxWeight  = 1000    // of a workspace
	maxLimit   = 1 << 40 // of counts, rates and token limits
	minKeyLen  = 16      // of an API key, in bytes
	maxTextLen = 200     // of a name or an API key, in bytes
)

// buildItem applies a command's settings to the item's current value in the snapshot,
// or to the defaults if the item does not exist.
func buildItem(snap *catalogue.Snapshot, kind catalogue.Kind, s *ChangeStatement) (catalogue.Item, error) {
	if s.Name == "" || len(s.Name) > maxTextLen || strings.ContainsAny(s.Name, "/ \t\n\"") {
		return catalogue.Item{}, errorf(s.Pos, "name %q is empty, too long, or has a slash, a space or a quote", s.Name)
	}
	settings, err := newSettingReader(s.Settings)
	if err != nil {
		return catalogue.Item{}, err
	}
	b := itemBuilder{snap: snap, pos: s.Pos, name: s.Name, settings: settings}
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

// itemBuilder validates the settings of one item and applies them to its value.
type itemBuilder struct {
	snap     *catalogue.Snapshot // the configuration that the command applies to
	pos      lexer.Position      // of the statement, for errors that concern no single setting
	name     string
	settings *settingReader
}

func (b *itemBuilder) workspace() (catalogue.Workspace, error) {
	w, exists := b.snap.Workspace(b.name)
	if !exists {
		w = catalogue.Workspace{Name: b.name, Weight: 1}
	}
	b.settings.number("weight", 1, maxWeight, &w.Weight)
	b.settings.number("max_concurrent", 0, maxLimit, &w.MaxConcurrent)
	b.settings.number("max_tokens", 0, maxLimit, &w.MaxTokens)
	b.settings.number("requests_per_minute", 0, maxLimit, &w.RequestsPerMinute)
	b.settings.number("tokens_per_minute", 0, maxLimit, &w.TokensPerMinute)
	hashes, err := b.keyHashes(exists, w.KeyHashes)
	if err != nil {
		return w, err
	}
	w.KeyHashes = hashes
	return w, b.settings.finish("weight, max_concurrent, max_tokens, requests_per_minute, tokens_per_minute, key")
}

func (b *itemBuilder) operator() (catalogue.Operator, error) {
	o, exists := b.snap.Operator(b.name)
	if !exists {
		o = catalogue.Operator{Name: b.name}
	}
	role := o.Role.String()
	if pos, ok := b.settings.text("role", &role); ok {
		r, err := catalogue.ParseRole(role)
		if err != nil {
			return o, errorf(pos, "%v", err)
		}
		o.Role = r
	}
	hashes, err := b.keyHashes(exists, o.KeyHashes)
	if err != nil {
		return o, err
	}
	o.KeyHashes = hashes
	return o, b.settings.finish("role, key")
}

// keyHashes returns the hashes of an item's keys: that of the setting key for a new
// item, and the current hashes for an existing one, whose key only a rotation changes.
func (b *itemBuilder) keyHashes(exists bool, hashes []string) ([]string, error) {
	var key string
	pos, given := b.settings.text("key", &key)
	switch {
	case given && exists:
		return nil, errorf(pos, "key is changed with: rotate key")
	case given:
		hash, err := hashNewKey(b.snap, pos, key)
		return []string{hash}, err
	case !exists:
		return nil, errorf(b.pos, "%q needs a key of at least %d characters", b.name, minKeyLen)
	default:
		return hashes, nil
	}
}

// hashNewKey validates a key, which must not be in use, and returns its hash.
func hashNewKey(snap *catalogue.Snapshot, pos lexer.Position, key string) (string, error) {
	if len(key) < minKeyLen || len(key) > maxTextLen || strings.ContainsAny(key, " \t\n") {
		return "", errorf(pos, "key has fewer than %d or more than %d characters, or a space", minKeyLen, maxTextLen)
	}
	if snap.KeyInUse(key) {
		return "", errorf(pos, "key is in use already")
	}
	return catalogue.HashKey(key), nil
}

func (b *itemBuilder) target() (catalogue.Target, error) {
	t, exists := b.snap.Target(b.name)
	if !exists {
		t = catalogue.Target{Addr: b.name}
	}
	if _, err := netip.ParseAddrPort(b.name); err != nil {
		return t, errorf(b.pos, "target %q is not an IP address and a port", b.name)
	}
	b.settings.text("failure_domain", &t.FailureDomain)
	b.settings.list("models", &t.Models)
	servicePos, given := b.settings.text("service", &t.Service)
	b.settings.number("capacity", 0, maxLimit, &t.Capacity)
	b.settings.boolean("leaving", &t.Leaving)
	b.settings.boolean("checks_fencing", &t.ChecksFencingToken)
	if err := b.settings.finish("failure_domain, models, service, capacity, leaving, checks_fencing"); err != nil {
		return t, err
	}
	if given && t.Service != "" {
		if _, ok := b.snap.Service(t.Service); !ok {
			return t, errorf(servicePos, "service %q does not exist", t.Service)
		}
	}
	if (len(t.Models) == 0) == (t.Service == "") {
		return t, errorf(b.pos, "target %q needs either models or a service", b.name)
	}
	return t, nil
}

func (b *itemBuilder) model() (catalogue.Model, error) {
	m, exists := b.snap.Model(b.name)
	if !exists {
		m = catalogue.Model{Name: b.name}
	}
	b.settings.number("max_tokens", 0, maxLimit, &m.MaxTokens)
	return m, b.settings.finish("max_tokens")
}

func (b *itemBuilder) service() (catalogue.Service, error) {
	v, exists := b.snap.Service(b.name)
	if !exists {
		v = catalogue.Service{Name: b.name, TokensPerCall: 1}
	}
	b.settings.number("tokens_per_call", 0, maxLimit, &v.TokensPerCall)
	var route string
	pos, given := b.settings.text("route", &route)
	if given {
		return v, b.route(&v, pos, route)
	}
	var idempotent []string
	b.settings.list("idempotent", &idempotent)
	if err := b.settings.finish("tokens_per_call, idempotent, route"); err != nil {
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

// route applies the setting idempotent to one route of the service. The setting
// determines whether calls of the route may be retried.
func (b *itemBuilder) route(v *catalogue.Service, pos lexer.Position, text string) error {
	r, err := parseRoute(pos, text)
	if err != nil {
		return err
	}
	b.settings.boolean("idempotent", &r.Idempotent)
	if err := b.settings.finish("tokens_per_call, route with idempotent = true or false"); err != nil {
		return err
	}
	v.Routes = replaceRoute(v.Routes, r)
	return nil
}

// parseRoute parses a method and a path, such as "GET /stock".
func parseRoute(pos lexer.Position, text string) (catalogue.Route, error) {
	method, path, ok := strings.Cut(text, " ")
	if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#") {
		return catalogue.Route{}, errorf(pos, "route %q is not a method and a path, like \"GET /stock\"", text)
	}
	return catalogue.Route{Method: method, Path: path}, nil
}

// replaceRoute returns a copy of routes in which r replaces the route with the same
// method and path. It does not modify routes, which belong to an immutable snapshot.
func replaceRoute(routes []catalogue.Route, r catalogue.Route) []catalogue.Route {
	var out []catalogue.Route
	for _, old := range routes {
		if old.Method != r.Method || old.Path != r.Path {
			out = append(out, old)
		}
	}
	return append(out, r)
}
