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
	itemKinds      = "workspace, target, service, model, operator"
	defaultKeyKeep = 24 * time.Hour
	maxKeyKeep     = 30 * 24 * time.Hour
)

// edit builds the items that a command makes out of the configuration.
type edit func(s *catalogue.Snapshot) ([]catalogue.Item, error)

// one returns an item as an edit returns it.
func one(item catalogue.Item, err error) ([]catalogue.Item, error) {
	return []catalogue.Item{item}, err
}

// change accepts items on top of the newest configuration.
//
// The command's row is read behind the configuration: if an earlier try of the
// command has been accepted, its version is the answer whatever is there now.
func (e *Executor) change(ctx context.Context, cmd command, version *uint64, build edit) (uint64, error) {
	if err := e.Catalogue.Refresh(ctx); err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	s := e.Catalogue.Current()
	text := Redact(cmd.Command)
	done, found, err := e.Catalogue.Accepted(ctx, cmd.CommandID, text)
	if err != nil || found {
		return done, err
	}
	items, err := build(s)
	if err != nil {
		return e.Catalogue.Refuse(ctx, cmd.CommandID, text, err)
	}
	base := s.Version()
	if version != nil {
		base = *version
	}
	return e.Catalogue.Accept(ctx, base, catalogue.Change{
		CommandID: cmd.CommandID,
		Operator:  cmd.operator,
		Command:   text,
		At:        time.Now().UTC(),
		Items:     items,
	})
}

func (e *Executor) create(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.change(ctx, cmd, s.Version, func(now *catalogue.Snapshot) ([]catalogue.Item, error) {
		if _, exists := now.Item(kind, s.Name); exists {
			return nil, errorf(s.Pos, "%s %q exists already; change it with: set %s %q", kind, s.Name, kind, s.Name)
		}
		return one(buildItem(now, kind, s))
	})
	if err != nil {
		return Result{}, changeError("create", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q created", kind, s.Name), Version: version}, nil
}

func (e *Executor) set(ctx context.Context, cmd command, s *ChangeStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.change(ctx, cmd, s.Version, func(now *catalogue.Snapshot) ([]catalogue.Item, error) {
		if err := requireItem(now, s.Pos, kind, s.Name); err != nil {
			return nil, err
		}
		return one(buildItem(now, kind, s))
	})
	if err != nil {
		return Result{}, changeError("set", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q changed", kind, s.Name), Version: version}, nil
}

func (e *Executor) delete(ctx context.Context, cmd command, s *DeleteStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	version, err := e.change(ctx, cmd, s.Version, func(now *catalogue.Snapshot) ([]catalogue.Item, error) {
		if err := requireItem(now, s.Pos, kind, s.Name); err != nil {
			return nil, err
		}
		if err := checkDeletion(now, s, kind); err != nil {
			return nil, err
		}
		return []catalogue.Item{catalogue.Deletion(kind, s.Name)}, nil
	})
	if err != nil {
		return Result{}, changeError("delete", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q deleted", kind, s.Name), Version: version}, nil
}

// checkDeletion refuses to delete a service that targets run.
func checkDeletion(now *catalogue.Snapshot, s *DeleteStatement, kind catalogue.Kind) error {
	if kind != catalogue.KindService {
		return nil
	}
	for _, t := range now.Targets() {
		if t.Service == s.Name {
			return errorf(s.Pos, "service %q is run by target %q", s.Name, t.Addr)
		}
	}
	return nil
}

func (e *Executor) rotate(ctx context.Context, cmd command, s *RotateStatement) (Result, error) {
	kind, err := parseKind(s.Pos, s.Kind)
	if err != nil {
		return Result{}, err
	}
	keep := defaultKeyKeep
	if s.Keep != nil {
		keep, err = time.ParseDuration(*s.Keep)
		if err != nil || keep < 0 || keep > maxKeyKeep {
			return Result{}, errorf(s.Pos, "keep %q is not a duration from 0s to %s", *s.Keep, maxKeyKeep)
		}
	}
	until := time.Now().UTC().Add(keep).Truncate(time.Second)
	version, err := e.change(ctx, cmd, nil, func(now *catalogue.Snapshot) ([]catalogue.Item, error) {
		return one(rotateItem(now, kind, s, until))
	})
	if err != nil {
		return Result{}, changeError("rotate key of", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q has a new key; the old one is valid until %s", kind, s.Name, until.Format(time.RFC3339)), Version: version}, nil
}

func rotateItem(now *catalogue.Snapshot, kind catalogue.Kind, s *RotateStatement, until time.Time) (catalogue.Item, error) {
	if err := requireItem(now, s.Pos, kind, s.Name); err != nil {
		return catalogue.Item{}, err
	}
	hash, err := newKey(now, s.Pos, s.Key)
	if err != nil {
		return catalogue.Item{}, err
	}
	if kind == catalogue.KindOperator {
		o, _ := now.Operator(s.Name)
		o.KeyHashes = append([]string{hash}, o.KeyHashes[:min(1, len(o.KeyHashes))]...)
		o.OldKeyUntil = until
		return catalogue.NewItem(kind, s.Name, o)
	}
	w, _ := now.Workspace(s.Name)
	w.KeyHashes = append([]string{hash}, w.KeyHashes[:min(1, len(w.KeyHashes))]...)
	w.OldKeyUntil = until
	return catalogue.NewItem(kind, s.Name, w)
}

func requireItem(now *catalogue.Snapshot, pos lexer.Position, kind catalogue.Kind, name string) error {
	if _, exists := now.Item(kind, name); !exists {
		return errorf(pos, "%s %q does not exist", kind, name)
	}
	return nil
}

func parseKind(pos lexer.Position, name string) (catalogue.Kind, error) {
	kind, err := catalogue.ParseKind(name)
	if err != nil {
		return 0, unexpected(pos, "kind", name, itemKinds)
	}
	return kind, nil
}

// changeError adds what was tried, unless the error points at the place itself.
func changeError(verb, kind, name string, err error) error {
	var unplaced *unplacedError
	if errors.As(err, &unplaced) {
		return unplaced
	}
	return fmt.Errorf("%s %s %q: %w", verb, kind, name, err)
}
