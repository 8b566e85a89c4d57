package catalogue

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

//go:generate ../../../bin/stringer -type=Kind -linecomment

// Kind is the kind of a configured item.
type Kind int

// The kinds of items.
const (
	KindWorkspace Kind = iota // workspace
	KindTarget                // target
	KindService               // service
)

// Kinds lists every kind.
var Kinds = []Kind{KindWorkspace, KindTarget, KindService}

// ParseKind returns the kind with the name.
func ParseKind(name string) (Kind, error) {
	for _, k := range Kinds {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("kind %q does not exist", name)
}

// Item is one configured thing as stored, with the version that wrote it.
type Item struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// itemID names an item among all kinds.
type itemID struct {
	kind Kind
	name string
}

// Snapshot is the configuration at one version; it never changes.
type Snapshot struct {
	version    uint64
	items      map[itemID]Item
	workspaces map[string]Workspace
	byKey      map[string]string
	targets    map[string]Target
	services   map[string]Service
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() uint64 { return s.version }

// Workspace returns the workspace with the name.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace whose callers use the key.
func (s *Snapshot) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := s.byKey[HashKey(key)]
	if !ok {
		return Workspace{}, false
	}
	return s.Workspace(name)
}

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

// Models returns the models that the targets serve, ordered by name.
func (s *Snapshot) Models() []string {
	set := make(map[string]bool)
	for _, t := range s.targets {
		for _, m := range t.Models {
			set[m] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// HasModel reports whether a target serves the model.
func (s *Snapshot) HasModel(model string) bool {
	for _, t := range s.targets {
		if t.ServesModel(model) {
			return true
		}
	}
	return false
}

// emptySnapshot returns the configuration before the first change.
func emptySnapshot() *Snapshot {
	return &Snapshot{
		items:      make(map[itemID]Item),
		workspaces: make(map[string]Workspace),
		byKey:      make(map[string]string),
		targets:    make(map[string]Target),
		services:   make(map[string]Service),
	}
}

// with returns the snapshot at the version with the items replaced, ignoring items that are older.
func (s *Snapshot) with(version uint64, items []Item) (*Snapshot, error) {
	next := emptySnapshot()
	next.version = max(version, s.version)
	maps.Copy(next.items, s.items)
	for _, item := range items {
		kind, err := ParseKind(item.Kind)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		id := itemID{kind: kind, name: item.Name}
		if old, ok := next.items[id]; ok && old.Version > item.Version {
			continue
		}
		next.items[id] = item
	}
	if err := next.index(); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return next, nil
}

// index decodes the items into the maps that are asked.
func (s *Snapshot) index() error {
	for id, item := range s.items {
		if item.Deleted {
			continue
		}
		if err := s.add(id, item.Value); err != nil {
			return fmt.Errorf("%s %q: %w", id.kind, id.name, err)
		}
	}
	return nil
}

func (s *Snapshot) add(id itemID, value json.RawMessage) error {
	switch id.kind {
	case KindWorkspace:
		var w Workspace
		if err := json.Unmarshal(value, &w); err != nil {
			return err
		}
		s.workspaces[id.name] = w
		for _, h := range w.KeyHashes {
			s.byKey[h] = id.name
		}
	case KindTarget:
		var t Target
		if err := json.Unmarshal(value, &t); err != nil {
			return err
		}
		s.targets[id.name] = t
	case KindService:
		var v Service
		if err := json.Unmarshal(value, &v); err != nil {
			return err
		}
		s.services[id.name] = v
	}
	return nil
}
