package catalogue

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// recentChanges is the number of changes kept to update peers that have an older version.
const recentChanges = 256

// Snapshot is the immutable configuration at one version.
type Snapshot struct {
	version   uint64
	items     map[itemID]Item
	recent    []Change // consecutive changes that end at version, oldest first
	decodeErr error    // items whose value could not be decoded

	workspaces    map[string]Workspace
	targets       map[string]Target
	services      map[string]Service
	models        map[string]Model
	operators     map[string]Operator
	evacuations   map[string]Evacuation // by failure domain
	workspaceKeys map[string]keyOwner   // by hash of the key
	operatorKeys  map[string]keyOwner   // by hash of the key
}

// itemID identifies an item. The kind is a string because a newer release may write kinds
// that this one does not know.
type itemID struct {
	kind string
	name string
}

// keyOwner is the workspace or operator that a key belongs to.
type keyOwner struct {
	name      string
	expiresAt time.Time
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() uint64 { return s.version }

// Items returns all items, ordered by kind and name.
func (s *Snapshot) Items() []Item {
	return slices.SortedFunc(maps.Values(s.items), func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// Item returns the item of the kind with the name.
func (s *Snapshot) Item(kind Kind, name string) (Item, bool) {
	item, ok := s.items[itemID{kind: kind.String(), name: name}]
	return item, ok
}

// Workspace returns the workspace with the name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace that the API key belongs to; an expired key is not
// found.
func (s *Snapshot) WorkspaceByKey(key string) (Workspace, bool) {
	owner, ok := s.workspaceKeys[HashKey(key)]
	if !ok || owner.expired() {
		return Workspace{}, false
	}
	return s.Workspace(owner.name)
}

// OperatorByKey returns the operator that the key belongs to; an expired key is not found.
func (s *Snapshot) OperatorByKey(key string) (Operator, bool) {
	owner, ok := s.operatorKeys[HashKey(key)]
	if !ok || owner.expired() {
		return Operator{}, false
	}
	return s.Operator(owner.name)
}

func (o keyOwner) expired() bool { return !o.expiresAt.IsZero() && time.Now().After(o.expiresAt) }

// Workspaces returns the workspaces, ordered by name.
func (s *Snapshot) Workspaces() []Workspace {
	out := make([]Workspace, 0, len(s.workspaces))
	for _, name := range slices.Sorted(maps.Keys(s.workspaces)) {
		out = append(out, s.workspaces[name])
	}
	return out
}

// Target returns the target with the address.
func (s *Snapshot) Target(addr string) (Target, bool) {
	t, ok := s.targets[addr]
	return t, ok
}

// Targets returns the targets, ordered by address.
func (s *Snapshot) Targets() []Target {
	out := make([]Target, 0, len(s.targets))
	for _, addr := range slices.Sorted(maps.Keys(s.targets)) {
		out = append(out, s.targets[addr])
	}
	return out
}

// Service returns the service with the name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns the services, ordered by name.
func (s *Snapshot) Services() []Service {
	out := make([]Service, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		out = append(out, s.services[name])
	}
	return out
}

// Model returns the limits of the model with the name, if they are configured.
func (s *Snapshot) Model(name string) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Operator returns the operator with the name.
func (s *Snapshot) Operator(name string) (Operator, bool) {
	o, ok := s.operators[name]
	return o, ok
}

// Operators returns the operators, ordered by name.
func (s *Snapshot) Operators() []Operator {
	out := make([]Operator, 0, len(s.operators))
	for _, name := range slices.Sorted(maps.Keys(s.operators)) {
		out = append(out, s.operators[name])
	}
	return out
}

// Evacuated reports whether the targets of a failure domain receive no new requests.
func (s *Snapshot) Evacuated(domain string) bool {
	_, ok := s.evacuations[domain]
	return ok
}

// Evacuations returns the evacuated failure domains, in order.
func (s *Snapshot) Evacuations() []string { return slices.Sorted(maps.Keys(s.evacuations)) }

// ServedModels returns the names of the models that targets serve, in order.
func (s *Snapshot) ServedModels() []string {
	set := make(map[string]bool)
	for _, t := range s.targets {
		for _, m := range t.Models {
			set[m] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// KnownModels returns the names of the models that are configured or served by a target,
// in order.
func (s *Snapshot) KnownModels() []string {
	names := slices.Concat(s.ServedModels(), slices.Collect(maps.Keys(s.models)))
	slices.Sort(names)
	return slices.Compact(names)
}

// ServesModel reports whether any target serves the model.
func (s *Snapshot) ServesModel(model string) bool {
	for _, t := range s.targets {
		if t.ServesModel(model) {
			return true
		}
	}
	return false
}

// emptySnapshot returns the configuration at version 0, before the first change.
func emptySnapshot() *Snapshot {
	return &Snapshot{
		items:         make(map[itemID]Item),
		workspaces:    make(map[string]Workspace),
		targets:       make(map[string]Target),
		services:      make(map[string]Service),
		models:        make(map[string]Model),
		operators:     make(map[string]Operator),
		evacuations:   make(map[string]Evacuation),
		workspaceKeys: make(map[string]keyOwner),
		operatorKeys:  make(map[string]keyOwner),
	}
}

// newSnapshot returns the configuration that consists of the items.
func newSnapshot(version uint64, items []Item) *Snapshot {
	s := emptySnapshot()
	s.version = version
	for _, item := range items {
		s.put(item)
	}
	return s
}

// withChanges returns the snapshot with the changes applied, which must directly follow
// its version without a gap.
//
// An item that is newer than the change is kept: load may have read an item that a later
// change wrote.
func (s *Snapshot) withChanges(changes []Change) *Snapshot {
	if len(changes) == 0 {
		return s
	}
	next := s.clone()
	for _, ch := range changes {
		next.version = ch.Version
		for _, item := range ch.Items {
			if old, ok := next.items[itemID{kind: item.Kind, name: item.Name}]; !ok || old.Version <= item.Version {
				next.put(item)
			}
		}
	}
	all := slices.Concat(s.recent, changes)
	next.recent = all[max(0, len(all)-recentChanges):]
	return next
}

// clone returns a copy without recent and decodeErr.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		version:       s.version,
		items:         maps.Clone(s.items),
		workspaces:    maps.Clone(s.workspaces),
		targets:       maps.Clone(s.targets),
		services:      maps.Clone(s.services),
		models:        maps.Clone(s.models),
		operators:     maps.Clone(s.operators),
		evacuations:   maps.Clone(s.evacuations),
		workspaceKeys: maps.Clone(s.workspaceKeys),
		operatorKeys:  maps.Clone(s.operatorKeys),
	}
}

// changesSince returns the changes after the version. It returns false if some of them are
// no longer kept.
func (s *Snapshot) changesSince(version uint64) ([]Change, bool) {
	if version >= s.version {
		return nil, true
	}
	missing := s.version - version
	if missing > uint64(len(s.recent)) {
		return nil, false
	}
	return s.recent[uint64(len(s.recent))-missing:], true
}

// put adds, replaces or deletes an item. If its value cannot be decoded, lookups keep
// returning the previous value and decodeErr is set.
func (s *Snapshot) put(item Item) {
	id := itemID{kind: item.Kind, name: item.Name}
	if item.Deleted {
		delete(s.items, id)
	} else {
		s.items[id] = item
	}
	kind, err := ParseKind(item.Kind)
	if err != nil {
		return // a kind of a newer release
	}
	if err := s.index(kind, item); err != nil {
		s.decodeErr = errors.Join(s.decodeErr, fmt.Errorf("%s %q at version %d: %w", kind, item.Name, item.Version, err))
	}
}

// KeyInUse reports whether the key belongs to a workspace or an operator, even if it has
// expired.
func (s *Snapshot) KeyInUse(key string) bool {
	hash := HashKey(key)
	_, inWorkspace := s.workspaceKeys[hash]
	_, inOperator := s.operatorKeys[hash]
	return inWorkspace || inOperator
}
