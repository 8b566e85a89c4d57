package operator

import (
	"context"
	"fmt"
	"strings"

	"rosevalve/internal/workspace/catalogue"
)

func workspaceTable(now *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{
		{"name", UnitText}, {"weight", UnitNumber}, {"max_concurrent", UnitNumber}, {"max_tokens", UnitTokens},
		{"requests_per_minute", UnitNumber}, {"tokens_per_minute", UnitTokens},
		{"keys", UnitNumber}, {"old_key_until", UnitTime},
	}}
	for _, w := range now.Workspaces() {
		t.Rows = append(t.Rows, []Cell{
			Text(w.Name), Number(w.Weight), Number(w.MaxConcurrent), Number(w.MaxTokens),
			Number(w.RequestsPerMinute), Number(w.TokensPerMinute),
			Number(int64(len(w.KeyHashes))), Time(w.OldKeyUntil),
		})
	}
	return t
}

func targetTable(now *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{
		{"addr", UnitText}, {"failure_domain", UnitText}, {"models", UnitText}, {"service", UnitText},
		{"capacity", UnitNumber}, {"leaving", UnitBool}, {"checks_fencing", UnitBool},
	}}
	for _, v := range now.Targets() {
		t.Rows = append(t.Rows, []Cell{
			Text(v.Addr), Text(v.FailureDomain), Text(strings.Join(v.Models, ",")), Text(v.Service),
			Number(v.Capacity), Bool(v.Leaving), Bool(v.ChecksFencing),
		})
	}
	return t
}

func serviceTable(now *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"tokens_per_call", UnitTokens}, {"route", UnitText}, {"idempotent", UnitBool}}}
	for _, v := range now.Services() {
		if len(v.Routes) == 0 {
			t.Rows = append(t.Rows, []Cell{Text(v.Name), Number(v.TokensPerCall), Text(""), Text("")})
		}
		for _, r := range v.Routes {
			t.Rows = append(t.Rows, []Cell{Text(v.Name), Number(v.TokensPerCall), Text(r.Method + " " + r.Path), Bool(r.Idempotent)})
		}
	}
	return t
}

func modelTable(now *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"max_tokens", UnitTokens}, {"targets", UnitNumber}}}
	for _, name := range now.ModelNames() {
		m, _ := now.Model(name)
		targets := 0
		for _, v := range now.Targets() {
			if v.ServesModel(name) {
				targets++
			}
		}
		t.Rows = append(t.Rows, []Cell{Text(name), Number(m.MaxTokens), Number(int64(targets))})
	}
	return t
}

func operatorTable(now *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"role", UnitText}, {"keys", UnitNumber}, {"old_key_until", UnitTime}}}
	for _, o := range now.Operators() {
		t.Rows = append(t.Rows, []Cell{Text(o.Name), Text(o.Role.String()), Number(int64(len(o.KeyHashes))), Time(o.OldKeyUntil)})
	}
	return t
}

func (e *Executor) budgetTable(ctx context.Context) (Table, error) {
	budgets, err := e.Ledger.List(ctx, "")
	if err != nil {
		return Table{}, fmt.Errorf("show budgets: %w", err)
	}
	t := Table{Columns: []Column{
		{"workspace", UnitText}, {"name", UnitText}, {"granted", UnitTokens}, {"billed", UnitTokens}, {"remaining", UnitTokens},
	}}
	for _, b := range budgets {
		t.Rows = append(t.Rows, []Cell{
			Text(b.ID.Workspace), Text(b.ID.Name), Number(b.Row.Granted), Number(b.Spent), Number(b.Row.Granted - b.Spent),
		})
	}
	return t, nil
}

func (e *Executor) billTable(ctx context.Context) (Table, error) {
	bills, err := e.Ledger.Bills(ctx, "")
	if err != nil {
		return Table{}, fmt.Errorf("show bills: %w", err)
	}
	t := Table{Columns: []Column{
		{"workspace", UnitText}, {"budget", UnitText}, {"request_key", UnitText}, {"tokens", UnitTokens}, {"at", UnitTime},
	}}
	for _, b := range bills {
		t.Rows = append(t.Rows, []Cell{Text(b.Workspace), Text(b.Budget), Text(b.RequestKey), Number(b.Tokens()), Time(b.At)})
	}
	return t, nil
}

func (e *Executor) commandTable(ctx context.Context) (Table, error) {
	records, err := e.Catalogue.Records(ctx, maxCommands)
	if err != nil {
		return Table{}, fmt.Errorf("show commands: %w", err)
	}
	t := Table{Columns: []Column{
		{"at", UnitTime}, {"operator", UnitText}, {"version", UnitNumber}, {"outcome", UnitText}, {"command_id", UnitText}, {"command", UnitText},
	}}
	for _, r := range records {
		t.Rows = append(t.Rows, []Cell{
			Time(r.At), Text(r.Operator), Number(int64(r.Version)), Text(r.Outcome), Text(r.CommandID), Text(r.Command),
		})
	}
	return t, nil
}

// configTable tells which version each router has in force, and whether it is the newest.
func (e *Executor) configTable(ctx context.Context) (Table, error) {
	if e.Versions == nil {
		return Table{}, errNotConnected("the versions of routers")
	}
	versions := e.Versions(ctx)
	newest := e.Catalogue.Current().Version()
	for _, v := range versions {
		newest = max(newest, v.Version)
	}
	t := Table{Columns: []Column{{"router", UnitText}, {"answers", UnitBool}, {"version", UnitNumber}, {"newest", UnitBool}}}
	for _, v := range versions {
		t.Rows = append(t.Rows, []Cell{Text(v.Router), Bool(v.Known), Number(int64(v.Version)), Bool(v.Known && v.Version == newest)})
	}
	return t, nil
}
