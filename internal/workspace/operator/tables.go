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
			TextCell(w.Name), NumberCell(w.Weight), NumberCell(w.MaxConcurrent), NumberCell(w.MaxTokens),
			NumberCell(w.RequestsPerMinute), NumberCell(w.TokensPerMinute),
			NumberCell(int64(len(w.KeyHashes))), TimeCell(w.OldKeyUntil),
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
			TextCell(v.Addr), TextCell(v.FailureDomain), TextCell(strings.Join(v.Models, ",")), TextCell(v.Service),
			NumberCell(v.Capacity), BoolCell(v.Leaving), BoolCell(v.ChecksFencingToken),
		})
	}
	return t
}

// serviceTable lists the services, with one row for each configured route.
func serviceTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"tokens_per_call", UnitTokens}, {"route", UnitText}, {"idempotent", UnitBool}}}
	for _, v := range snap.Services() {
		if len(v.Routes) == 0 {
			t.Rows = append(t.Rows, []Cell{TextCell(v.Name), NumberCell(v.TokensPerCall), TextCell(""), TextCell("")})
		}
		for _, r := range v.Routes {
			t.Rows = append(t.Rows, []Cell{TextCell(v.Name), NumberCell(v.TokensPerCall), TextCell(r.Method + " " + r.Path), BoolCell(r.Idempotent)})
		}
	}
	return t
}

// modelTable lists the models with the number of targets that serve each.
func modelTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"max_tokens", UnitTokens}, {"targets", UnitNumber}}}
	for _, name := range snap.KnownModels() {
		m, _ := snap.Model(name)
		targets := 0
		for _, v := range snap.Targets() {
			if v.ServesModel(name) {
				targets++
			}
		}
		t.Rows = append(t.Rows, []Cell{TextCell(name), NumberCell(m.MaxTokens), NumberCell(int64(targets))})
	}
	return t
}

// operatorTable lists the operators; keys is the number of their key hashes.
func operatorTable(snap *catalogue.Snapshot) Table {
	t := Table{Columns: []Column{{"name", UnitText}, {"role", UnitText}, {"keys", UnitNumber}, {"old_key_until", UnitTime}}}
	for _, o := range snap.Operators() {
		t.Rows = append(t.Rows, []Cell{TextCell(o.Name), TextCell(o.Role.String()), NumberCell(int64(len(o.KeyHashes))), TimeCell(o.OldKeyUntil)})
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
			TextCell(b.ID.Workspace), TextCell(b.ID.Name), NumberCell(b.Row.Granted), NumberCell(b.Spent), NumberCell(b.Row.Granted - b.Spent),
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
		t.Rows = append(t.Rows, []Cell{TextCell(b.Workspace), TextCell(b.Budget), TextCell(b.RequestKey), NumberCell(b.Tokens()), TimeCell(b.BilledAt)})
	}
	return t, nil
}

// commandTable lists the newest commands of the audit trail.
func (e *Executor) commandTable(ctx context.Context) (Table, error) {
	records, err := e.Catalogue.AuditRecords(ctx, maxAuditRecords)
	if err != nil {
		return Table{}, fmt.Errorf("show commands: %w", err)
	}
	t := Table{Columns: []Column{
		{"at", UnitTime}, {"operator", UnitText}, {"version", UnitNumber}, {"outcome", UnitText}, {"command_id", UnitText}, {"command", UnitText},
	}}
	for _, r := range records {
		t.Rows = append(t.Rows, []Cell{
			TimeCell(r.At), TextCell(r.Operator), NumberCell(int64(r.Version)), TextCell(r.Outcome), TextCell(r.CommandID), TextCell(r.Command),
		})
	}
	return t, nil
}

// configTable returns the configuration version of each router, and whether it is the
// newest one known.
func (e *Executor) configTable(ctx context.Context) (Table, error) {
	if e.QueryVersions == nil {
		return Table{}, errUnsupported("the versions of routers")
	}
	versions := e.QueryVersions(ctx)
	newest := e.Catalogue.Current().Version()
	for _, v := range versions {
		newest = max(newest, v.Version)
	}
	t := Table{Columns: []Column{{"router", UnitText}, {"answers", UnitBool}, {"version", UnitNumber}, {"newest", UnitBool}}}
	for _, v := range versions {
		t.Rows = append(t.Rows, []Cell{TextCell(v.Router), BoolCell(v.Ready), NumberCell(int64(v.Version)), BoolCell(v.Ready && v.Version == newest)})
	}
	return t, nil
}
