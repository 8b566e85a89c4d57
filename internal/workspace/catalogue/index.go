package catalogue

import (
	"encoding/json"
	"fmt"
)

// index decodes the item and updates the lookup maps of its kind.
func (s *Snapshot) index(kind Kind, item Item) error {
	switch kind {
	case KindWorkspace:
		return s.indexWorkspace(item)
	case KindTarget:
		return s.indexTarget(item)
	case KindService:
		return s.indexService(item)
	case KindModel:
		return s.indexModel(item)
	case KindOperator:
		return s.indexOperator(item)
	case KindEvacuation:
		return s.indexEvacuation(item)
	default:
		return fmt.Errorf("kind %s has no index", kind)
	}
}

func (s *Snapshot) indexWorkspace(item Item) error {
	var w Workspace
	if err := decodeItem(item, &w); err != nil {
		return err
	}
	for _, h := range s.workspaces[item.Name].KeyHashes {
		delete(s.workspaceKeys, h)
	}
	if item.Deleted {
		delete(s.workspaces, item.Name)
		return nil
	}
	s.workspaces[item.Name] = w
	for i, h := range w.KeyHashes {
		owner := keyOwner{name: item.Name}
		if i > 0 {
			owner.expiresAt = w.OldKeyUntil
		}
		s.workspaceKeys[h] = owner
	}
	return nil
}

func (s *Snapshot) indexOperator(item Item) error {
	var o Operator
	if err := decodeItem(item, &o); err != nil {
		return err
	}
	for _, h := range s.operators[item.Name].KeyHashes {
		delete(s.operatorKeys, h)
	}
	if item.Deleted {
		delete(s.operators, item.Name)
		return nil
	}
	s.operators[item.Name] = o
	for i, h := range o.KeyHashes {
		owner := keyOwner{name: item.Name}
		if i > 0 {
			owner.expiresAt = o.OldKeyUntil
		}
		s.operatorKeys[h] = owner
	}
	return nil
}

func (s *Snapshot) indexTarget(item Item) error {
	var t Target
	if err := decodeItem(item, &t); err != nil {
		return err
	}
	if item.Deleted {
		delete(s.targets, item.Name)
		return nil
	}
	s.targets[item.Name] = t
	return nil
}

func (s *Snapshot) indexService(item Item) error {
	var v Service
	if err := decodeItem(item, &v); err != nil {
		return err
	}
	if item.Deleted {
		delete(s.services, item.Name)
		return nil
	}
	s.services[item.Name] = v
	return nil
}

func (s *Snapshot) indexModel(item Item) error {
	var m Model
	if err := decodeItem(item, &m); err != nil {
		return err
	}
	if item.Deleted {
		delete(s.models, item.Name)
		return nil
	}
	s.models[item.Name] = m
	return nil
}

func (s *Snapshot) indexEvacuation(item Item) error {
	var e Evacuation
	if err := decodeItem(item, &e); err != nil {
		return err
	}
	if item.Deleted {
		delete(s.evacuations, item.Name)
		return nil
	}
	s.evacuations[item.Name] = e
	return nil
}

// decodeItem decodes the value of the item into v; a deleted item has none.
func decodeItem(item Item, v any) error {
	if item.Deleted {
		return nil
	}
	if err := json.Unmarshal(item.Value, v); err != nil {
		return fmt.Errorf("decode value: %w", err)
	}
	return nil
}
