package catalogue

import (
	"encoding/json"
	"fmt"
)

//go:generate ../../../bin/stringer -type=Kind,Role -linecomment -output=enum_string.go

// Kind is the type of a configuration item.
type Kind int

// The kinds of configuration items.
const (
	KindWorkspace  Kind = iota // workspace
	KindTarget                 // target
	KindService                // service
	KindModel                  // model
	KindOperator               // operator
	KindEvacuation             // evacuation
)

// Kinds contains every kind.
var Kinds = []Kind{KindWorkspace, KindTarget, KindService, KindModel, KindOperator, KindEvacuation}

// ParseKind returns the kind with the name.
func ParseKind(name string) (Kind, error) {
	for _, k := range Kinds {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("kind %q does not exist", name)
}

// Role is the permission level of an operator. Each role includes the permissions of the
// lower ones.
type Role int

// The roles of operators, in ascending order of permissions.
const (
	RoleRead       Role = iota // read
	RoleOperate                // operate
	RoleAdminister             // administer
)

// ParseRole returns the role with the name.
func ParseRole(name string) (Role, error) {
	for _, r := range []Role{RoleRead, RoleOperate, RoleAdminister} {
		if r.String() == name {
			return r, nil
		}
	}
	return 0, fmt.Errorf("role %q does not exist; allowed: read, operate, administer", name)
}

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText sets the role to the one with the name.
func (r *Role) UnmarshalText(text []byte) error {
	role, err := ParseRole(string(text))
	*r = role
	return err
}

// NewItem returns an item with the value encoded as JSON.
func NewItem(kind Kind, name string, value any) (Item, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return Item{}, fmt.Errorf("encode %s %q: %w", kind, name, err)
	}
	return Item{Kind: kind.String(), Name: name, Value: b}, nil
}

// Deletion returns an item that marks the item of the kind and name as deleted.
func Deletion(kind Kind, name string) Item {
	return Item{Kind: kind.String(), Name: name, Deleted: true}
}
