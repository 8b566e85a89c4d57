package operator

import (
	"context"
	"fmt"
	"strings"

	"rosevalve/internal/workspace/catalogue"
)

// workspaceTable lists the workspaces with their limits.
func workspaceTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{
		{"name", UnitText}, {"weight", UnitNumber}, {"max_concurrent", UnitNumber}, {"max_tokens", UnitTokens},
		{"requests_per_minute", UnitNumber}, {"tokens_per_minute", UnitTokens},
		{"keys", UnitNumber}, {"old_key_until", UnitTime},
	}}
	for _, w := range snap.Workspaces() {
		t.Rows = append(t.Rows, []Cell{
			Text(w.Name), Number(w.Weight), Number(w.MaxConcurrent), Number(w.MaxTokens),
			Number(w.RequestsPerMinute), Number(w.TokensPerMinute),
			Number(int64(len(w.KeyHashes))), Time(w.OldKeyUntil),
		})
	}
	return t
}

// targetTable lists the targets.
func targetTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{
		{"addr", UnitText}, {"failure_domain", UnitText}, {"models", UnitText}, {"service", UnitText},
		{"capacity", UnitNumber}, {"leaving", UnitBool}, {"checks_fencing", UnitBool},
	}}
	for _, v := range snap.Targets() {
		t.Rows = append(t.Rows, []Cell{
			Text(v.Addr), Text(v.FailureDomain), Text(strings.Join(v.Models, ",")), Text(v.Service),
			Number(v.Capacity), Bool(v.Leaving), Bool(v.ChecksFencing),
		})
	}
	return t
}

// serviceTable lists the services, with one row for each configured route.
func serviceTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"tokens_per_call", UnitTokens}, {"route", UnitText}, {"idempotent", UnitBool}}}
	for _, v := range snap.Services() {
		if len(v.Routes) == 0 {
			t.Rows = append(t.Rows, []Cell{Text(v.Name), Number(v.TokensPerCall), Text(""), Text("")})
		}
		for _, r := range v.Routes {
			t.Rows = append(t.Rows, []Cell{Text(v.Name), Number(v.TokensPerCall), Text(r.Method + " " + r.Path), Bool(r.Idempotent)})
		}
	}
	return t
}

// modelTable lists the models with the number of targets that serve each.
func modelTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"max_tokens", UnitTokens}, {"targets", UnitNumber}}}
	for _, name := range snap.ModelNames() {
		m, _ := snap.Model(name)
		targets := 0
		for _, v := range snap.Targets() {
			if v.ServesModel(name) {
				targets++
			}
		}
		t.Rows = append(t.Rows, []Cell{Text(name), Number(m.MaxTokens), Number(int64(targets))})
	}
	return t
}

// operatorTable lists the operators; keys is the number of their key hashes.
func operatorTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"role", UnitText}, {"keys", UnitNumber}, {"old_key_until", UnitTime}}}
	for _, o := range snap.Operators() {
		t.Rows = append(t.Rows, []Cell{Text(o.Name), Text(o.Role.String()), Number(int64(len(o.KeyHashes))), Time(o.OldKeyUntil)})
	}
	return t
}

// budgetTable lists the budgets with their granted, billed and remaining tokens.
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

// billTable lists the bills of all workspaces.
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

// commandTable lists the newest commands of the audit trail.
func (e *Executor) commandTable(ctx context.Context) (Table, error) {
	records, err := e.Catalogue.Records(ctx, maxAuditRecords)
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

// configTable returns the configuration version of each router, and whether it is the
// newest one known.
func (e *Executor) configTable(ctx context.Context) (Table, error) {
	if e.Versions == nil {
		return Table{}, errUnsupported("the versions of routers")
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
