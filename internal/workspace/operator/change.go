package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/workspace/catalogue"
)

const (
	// itemKinds are the kinds of configuration items, as listed in errors and completions.
	itemKinds = "workspace, target, service, model, operator"
	// defaultOldKeyValidity is how long the old key stays valid after a rotation without keep.
	defaultOldKeyValidity = 24 * time.Hour
	// maxOldKeyValidity is the longest validity that keep can request for the old key.
	maxOldKeyValidity = 30 * 24 * time.Hour
)

// changeFunc returns the items that a command writes, given the current configuration.
type changeFunc func(snap *catalogue.Snapshot) ([]catalogue.Item, error)

// singleItem wraps the result of a function that builds one item as that of a changeFunc.
func singleItem(item catalogue.Item, err error) ([]catalogue.Item, error) {
	return []catalogue.Item{item}, err
}

// commitChange commits the items returned by build on top of the newest configuration
// and returns the new version. If version is not nil, the configuration must still be
// at that version.
//
// The row of the command id is read after the configuration: if an earlier attempt of
// the command was accepted, its version is returned, whatever has changed since.
func (e *Executor) commitChange(ctx context.Context, cmd command, version *uint64, build changeFunc) (uint64, error) {
	if err := e.Catalogue.Refresh(ctx); err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	snap := e.Catalogue.Current()
	redacted := Redact(cmd.Command)
	accepted, found, err := e.Catalogue.AcceptedVersion(ctx, cmd.CommandID, redacted)
	if err != nil || found {
		return accepted, err
	}
	items, err := build(snap)
	if err != nil {
		return e.Catalogue.Refuse(ctx, cmd.CommandID, redacted, err)
	}
	base := snap.Version()
	if version != nil {
		base = *version
	}
	return e.Catalogue.Accept(ctx, base, catalogue.Change{
		CommandID: cmd.CommandID,
		Operator:  cmd.operator,
		Command:   redacted,
		At:        time.Now().UTC(),
		Items:     items,
	})
}

// createItem adds a configuration item that does not exist yet.
func (e *Executor) createItem(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.commitChange(ctx, cmd, s.Version, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		if _, exists := snap.Item(kind, s.Name); exists {
			return nil, errorf(s.Pos, "%s %q exists already; change it with: set %s %q", kind, s.Name, kind, s.Name)
		}
		return singleItem(buildItem(snap, kind, s))
	})
	if err != nil {
		return Result{}, changeError("create", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q created", kind, s.Name), Version: version}, nil
}

// setItem changes settings of an existing configuration item.
func (e *Executor) setItem(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.commitChange(ctx, cmd, s.Version, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		if err := requireItem(snap, s.Pos, kind, s.Name); err != nil {
			return nil, err
		}
		return singleItem(buildItem(snap, kind, s))
	})
	if err != nil {
		return Result{}, changeError("set", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q changed", kind, s.Name), Version: version}, nil
}

// deleteItem removes a configuration item.
func (e *Executor) deleteItem(ctx context.Context, cmd command, s *DeleteStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.commitChange(ctx, cmd, s.Version, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		if err := requireItem(snap, s.Pos, kind, s.Name); err != nil {
			return nil, err
		}
		if err := checkDeletion(snap, s, kind); err != nil {
			return nil, err
		}
		return []catalogue.Item{catalogue.Deletion(kind, s.Name)}, nil
	})
	if err != nil {
		return Result{}, changeError("delete", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q deleted", kind, s.Name), Version: version}, nil
}

// checkDeletion returns an error if the item is a service that a target still runs.
func checkDeletion(snap *catalogue.Snapshot, s *DeleteStatement, kind catalogue.Kind) error {
	if kind != catalogue.KindService {
		return nil
	}
	for _, t := range snap.Targets() {
		if t.Service == s.Name {
			return errorf(s.Pos, "service %q is run by target %q", s.Name, t.Addr)
		}
	}
	return nil
}

// rotateKey gives a workspace or an operator a new key. The previous key stays valid
// for the duration of keep.
func (e *Executor) rotateKey(ctx context.Context, cmd command, s *RotateStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	keep := defaultOldKeyValidity
	if s.Keep != nil {
		keep, err = time.ParseDuration(*s.Keep)
		if err != nil || keep < 0 || keep > maxOldKeyValidity {
			return Result{}, errorf(s.Pos, "keep %q is not a duration from 0s to %s", *s.Keep, maxOldKeyValidity)
		}
	}
	until := time.Now().UTC().Add(keep).Truncate(time.Second)
	version, err := e.commitChange(ctx, cmd, nil, func(snap *catalogue.Snapshot) ([]catalogue.Item, error) {
		return singleItem(rotateItem(snap, kind, s, until))
	})
	if err != nil {
		return Result{}, changeError("rotate key of", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q has a new key; the old one is valid until %s", kind, s.Name, until.Format(time.RFC3339)), Version: version}, nil
}

// rotateItem returns the item with the new key. Only the newest of the old keys is
// kept, until the given time.
func rotateItem(snap *catalogue.Snapshot, kind catalogue.Kind, s *RotateStatement, until time.Time) (catalogue.Item, error) {
	if err := requireItem(snap, s.Pos, kind, s.Name); err != nil {
		return catalogue.Item{}, err
	}
	hash, err := hashNewKey(snap, s.Pos, s.Key)
	if err != nil {
		return catalogue.Item{}, err
	}
	if kind == catalogue.KindOperator {
		o, _ := snap.Operator(s.Name)
		o.KeyHashes = append([]string{hash}, o.KeyHashes[:min(1, len(o.KeyHashes))]...)
		o.OldKeyUntil = until
		return catalogue.NewItem(kind, s.Name, o)
	}
	w, _ := snap.Workspace(s.Name)
	w.KeyHashes = append([]string{hash}, w.KeyHashes[:min(1, len(w.KeyHashes))]...)
	w.OldKeyUntil = until
	return catalogue.NewItem(kind, s.Name, w)
}

// requireItem returns an error if the item does not exist.
func requireItem(snap *catalogue.Snapshot, pos lexer.Position, kind catalogue.Kind, name string) error {
	if _, exists := snap.Item(kind, name); !exists {
		return errorf(pos, "%s %q does not exist", kind, name)
	}
	return nil
}

// parseKind returns the kind of configuration item with the name. Evacuations have commands of their own.
func parseKind(pos lexer.Position, name string) (catalogue.Kind, error) {
	kind, err := catalogue.ParseKind(name)
	if err != nil || kind == catalogue.KindEvacuation {
		return 0, errUnknownName(pos, "kind", name, itemKinds)
	}
	return kind, nil
}

// changeError adds the attempted change to err, unless err has a position in the command.
func changeError(verb, kind, name string, err error) error {
	var posErr *posError
	if errors.As(err, &posErr) {
		return posErr
	}
	return fmt.Errorf("%s %s %q: %w", verb, kind, name, err)
}
