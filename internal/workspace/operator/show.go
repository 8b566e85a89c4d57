package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

const (
	showKinds   = "workspaces, budgets, holdings, bills, requests, targets, vms, routers, services, models, commands, config, operators"
	maxCommands = 500 // of the audit trail in one answer
)

// show lists, filters, orders and cuts the rows of a kind.
func (e *Executor) show(ctx context.Context, s *ShowStatement) (Result, error) {
	if s.InDoubt && s.Kind != "holdings" {
		return Result{}, errorf(s.Pos, "only holdings can be in doubt")
	}
	t, err := e.list(ctx, s)
	if err != nil {
		return Result{}, err
	}
	if err := filter(&t, s.Where); err != nil {
		return Result{}, err
	}
	if err := order(&t, s.Sort); err != nil {
		return Result{}, err
	}
	if s.Limit != nil {
		if *s.Limit < 0 {
			return Result{}, errorf(s.Pos, "limit %d is negative", *s.Limit)
		}
		t.Rows = t.Rows[:min(*s.Limit, len(t.Rows))]
	}
	return Result{Columns: t.Columns, Rows: t.Rows}, nil
}

func (e *Executor) list(ctx context.Context, s *ShowStatement) (Table, error) {
	now := e.Catalogue.Current()
	switch s.Kind {
	case "workspaces":
		return workspaceTable(now), nil
	case "targets":
		return targetTable(now), nil
	case "services":
		return serviceTable(now), nil
	case "models":
		return modelTable(now), nil
	case "operators":
		return operatorTable(now), nil
	case "budgets":
		return e.budgetTable(ctx)
	case "bills":
		return e.billTable(ctx)
	case "commands":
		return e.commandTable(ctx)
	case "config":
		return e.configTable(ctx)
	default:
		return e.listConnected(ctx, s)
	}
}

// listConnected lists what other parts of the router know.
func (e *Executor) listConnected(ctx context.Context, s *ShowStatement) (Table, error) {
	var source func(ctx context.Context) (Table, error)
	switch s.Kind {
	case "routers":
		source = e.Routers
	case "requests":
		source = e.Requests
	case "vms":
		source = e.VMs
	case "holdings":
		if e.Holdings != nil {
			source = func(ctx context.Context) (Table, error) { return e.Holdings(ctx, s.InDoubt) }
		}
	default:
		return Table{}, unexpected(s.Pos, "list", s.Kind, showKinds)
	}
	if source == nil {
		return Table{}, errNotConnected(s.Kind)
	}
	t, err := source(ctx)
	if err != nil {
		return Table{}, fmt.Errorf("show %s: %w", s.Kind, err)
	}
	return t, nil
}

// filter keeps the rows for which every condition holds.
func filter(t *Table, where []*Condition) error {
	for _, c := range where {
		i, err := findColumn(*t, c.Pos, c.Column)
		if err != nil {
			return err
		}
		want, err := c.cell(t.Columns[i])
		if err != nil {
			return err
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []Cell) bool { return !c.holds(row[i].compare(want)) })
	}
	return nil
}

// cell returns the value to compare with, if it fits the column.
func (c *Condition) cell(column Column) (Cell, error) {
	isText := column.Unit == UnitText || column.Unit == UnitTime
	switch {
	case column.Unit == UnitBool && c.Value.Bool != nil:
		return Text(*c.Value.Bool), nil
	case isText && c.Value.Text != nil:
		return Text(*c.Value.Text), nil
	case !isText && column.Unit != UnitBool && c.Value.Number != nil:
		return Number(*c.Value.Number), nil
	default:
		return Cell{}, errorf(c.Value.Pos, "column %q holds values of kind %s", column.Name, column.Unit)
	}
}

func (c *Condition) holds(order int) bool {
	switch c.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	default:
		return order >= 0
	}
}

func order(t *Table, s *Sort) error {
	if s == nil {
		return nil
	}
	i, err := findColumn(*t, s.Pos, s.Column)
	if err != nil {
		return err
	}
	slices.SortStableFunc(t.Rows, func(a, b []Cell) int {
		if s.Descending {
			return b[i].compare(a[i])
		}
		return a[i].compare(b[i])
	})
	return nil
}

func findColumn(t Table, pos lexer.Position, name string) (int, error) {
	i := t.column(name)
	if i < 0 {
		names := make([]string, len(t.Columns))
		for i, c := range t.Columns {
			names[i] = c.Name
		}
		return 0, unexpected(pos, "column", name, strings.Join(names, ", "))
	}
	return i, nil
}
