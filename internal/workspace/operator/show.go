package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// showKinds are the kinds of rows that show lists.
	showKinds = "workspaces, budgets, holdings, bills, requests, blocks, targets, evacuations, vms, routers, services, models, commands, config, operators"
	// maxAuditRecords bounds the records of the audit trail in one result.
	maxAuditRecords = 500
)

// show returns the rows of a kind, filtered, sorted and limited as the statement requires.
func (e *Executor) show(ctx context.Context, s *ShowStatement) (Result, error) {
	if s.InDoubt && s.Kind != "holdings" {
		return Result{}, errorf(s.Pos, "only holdings can be in doubt")
	}
	t, err := e.list(ctx, s)
	if err != nil {
		return Result{}, err
	}
	if err := filterRows(&t, s.Where); err != nil {
		return Result{}, err
	}
	if err := sortRows(&t, s.Sort); err != nil {
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

// list returns all rows of a kind.
func (e *Executor) list(ctx context.Context, s *ShowStatement) (Table, error) {
	snap := e.Catalogue.Current()
	switch s.Kind {
	case "workspaces":
		return workspaceTable(snap), nil
	case "targets":
		return targetTable(snap), nil
	case "evacuations":
		return evacuationTable(snap), nil
	case "services":
		return serviceTable(snap), nil
	case "models":
		return modelTable(snap), nil
	case "operators":
		return operatorTable(snap), nil
	case "budgets":
		return e.budgetTable(ctx)
	case "bills":
		return e.billTable(ctx)
	case "commands":
		return e.commandTable(ctx)
	case "config":
		return e.configTable(ctx)
	default:
		return e.listFromSource(ctx, s)
	}
}

// listFromSource returns all rows of a kind that another part of the router supplies.
func (e *Executor) listFromSource(ctx context.Context, s *ShowStatement) (Table, error) {
	var source func(ctx context.Context) (Table, error)
	switch s.Kind {
	case "routers":
		source = e.Routers
	case "requests":
		source = e.Requests
	case "blocks":
		source = e.Blocks
	case "vms":
		source = e.VMs
	case "holdings":
		if e.Holdings != nil {
			source = func(ctx context.Context) (Table, error) { return e.Holdings(ctx, s.InDoubt) }
		}
	default:
		return Table{}, errUnknownName(s.Pos, "list", s.Kind, showKinds)
	}
	if source == nil {
		return Table{}, errUnsupported(s.Kind)
	}
	t, err := source(ctx)
	if err != nil {
		return Table{}, fmt.Errorf("show %s: %w", s.Kind, err)
	}
	return t, nil
}

// filterRows removes the rows that do not meet every condition.
func filterRows(t *Table, where []*Condition) error {
	for _, c := range where {
		i, err := findColumn(*t, c.Pos, c.Column)
		if err != nil {
			return err
		}
		operand, err := c.operand(t.Columns[i])
		if err != nil {
			return err
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []Cell) bool { return !c.matches(row[i].compare(operand)) })
	}
	return nil
}

// operand returns the value that the column is compared with, or an error if its type
// does not match the unit of the column.
func (c *Condition) operand(column Column) (Cell, error) {
	isText := column.Unit == UnitText || column.Unit == UnitTime
	switch {
	case column.Unit == UnitBool && c.Value.Bool != nil:
		return TextCell(*c.Value.Bool), nil
	case isText && c.Value.Text != nil:
		return TextCell(*c.Value.Text), nil
	case !isText && column.Unit != UnitBool && c.Value.Number != nil:
		return NumberCell(*c.Value.Number), nil
	default:
		return Cell{}, errorf(c.Value.Pos, "column %q holds values of kind %s", column.Name, column.Unit)
	}
}

// matches reports whether the result of comparing a cell with the operand, as returned by
// Cell.compare, meets the condition.
func (c *Condition) matches(comparison int) bool {
	switch c.Op {
	case "=":
		return comparison == 0
	case "!=":
		return comparison != 0
	case "<":
		return comparison < 0
	case ">":
		return comparison > 0
	case "<=":
		return comparison <= 0
	default:
		return comparison >= 0
	}
}

// sortRows sorts the rows by a column; a nil s keeps their order.
func sortRows(t *Table, s *Sort) error {
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

// findColumn returns the index of a column, or an error that lists the columns.
func findColumn(t Table, pos lexer.Position, name string) (int, error) {
	i := t.columnIndex(name)
	if i < 0 {
		names := make([]string, len(t.Columns))
		for i, c := range t.Columns {
			names[i] = c.Name
		}
		return 0, errUnknownName(pos, "column", name, strings.Join(names, ", "))
	}
	return i, nil
}
