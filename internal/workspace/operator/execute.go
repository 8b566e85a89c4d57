package operator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/workspace/catalogue"
)

// Request is one command as it is sent to a router.
type Request struct {
	Command string `json:"command"`
	// CommandID makes a repeated command change nothing twice.
	CommandID string `json:"command_id"`
}

// Result is the answer to a command.
type Result struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	Message string     `json:"message,omitempty"`
	Version uint64     `json:"version,omitempty"`
}

// Executor runs commands.
type Executor struct {
	// Catalogue holds the configuration.
	Catalogue *catalogue.Catalogue
	// Ledger holds the budgets.
	Ledger *ledger.Ledger
	// Routers lists the routers with their states.
	Routers func() [][]string
}

// Execute runs one command on behalf of an operator.
func (e *Executor) Execute(ctx context.Context, operator string, req Request) (Result, error) {
	s, err := Parse(req.Command)
	if err != nil {
		return Result{}, err
	}
	switch {
	case s.Create != nil:
		return e.create(ctx, operator, req, s.Create)
	case s.TopUp != nil:
		return e.topUp(ctx, req, s.TopUp)
	default:
		return e.show(ctx, s.Show)
	}
}

func (e *Executor) create(ctx context.Context, operator string, req Request, s *CreateStatement) (Result, error) {
	set, err := newSettings(s.Settings)
	if err != nil {
		return Result{}, err
	}
	if s.Kind == "budget" {
		return e.createBudget(ctx, req, s.Name, set)
	}
	item, err := newItem(s.Kind, s.Name, set)
	if err != nil {
		return Result{}, err
	}
	if err := e.Catalogue.Refresh(ctx); err != nil {
		return Result{}, fmt.Errorf("read configuration: %w", err)
	}
	version, err := e.Catalogue.Accept(ctx, e.Catalogue.Current().Version(), catalogue.Change{
		CommandID: req.CommandID,
		Operator:  operator,
		Command:   req.Command,
		At:        time.Now().UTC(),
		Items:     []catalogue.Item{item},
	})
	if err != nil {
		return Result{}, fmt.Errorf("create %s %q: %w", s.Kind, s.Name, err)
	}
	return Result{Message: fmt.Sprintf("%s %q created", s.Kind, s.Name), Version: version}, nil
}

func (e *Executor) createBudget(ctx context.Context, req Request, name string, set settings) (Result, error) {
	id := ledger.BudgetID{Workspace: set.text("workspace", ""), Name: name}
	tokens := set.number("tokens", 0)
	if err := set.unused(); err != nil {
		return Result{}, err
	}
	if err := e.Catalogue.Refresh(ctx); err != nil {
		return Result{}, fmt.Errorf("read configuration: %w", err)
	}
	if _, ok := e.Catalogue.Current().Workspace(id.Workspace); !ok {
		return Result{}, fmt.Errorf("workspace %q does not exist", id.Workspace)
	}
	if err := e.Ledger.Create(ctx, id, tokens, req.CommandID); err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q created with %d tokens", id, tokens)}, nil
}

func (e *Executor) topUp(ctx context.Context, req Request, s *TopUpStatement) (Result, error) {
	id := ledger.BudgetID{Workspace: s.Workspace, Name: s.Name}
	if err := e.Ledger.TopUp(ctx, id, s.Tokens, req.CommandID); err != nil {
		return Result{}, fmt.Errorf("execute command: %w", err)
	}
	return Result{Message: fmt.Sprintf("budget %q topped up by %d tokens", id, s.Tokens)}, nil
}

// newItem builds a configured item from a command's settings.
func newItem(kind, name string, set settings) (catalogue.Item, error) {
	k, err := catalogue.ParseKind(kind)
	if err != nil {
		return catalogue.Item{}, fmt.Errorf("create: %w", err)
	}
	var value any
	switch k {
	case catalogue.KindWorkspace:
		value = catalogue.Workspace{
			Name:      name,
			Weight:    set.number("weight", 1),
			KeyHashes: []string{catalogue.HashKey(set.text("key", ""))},
		}
	case catalogue.KindTarget:
		value = catalogue.Target{
			Addr:          name,
			FailureDomain: set.text("failure_domain", ""),
			Models:        splitList(set.text("models", "")),
			Service:       set.text("service", ""),
		}
	case catalogue.KindService:
		routes, err := parseRoutes(set.text("idempotent", ""))
		if err != nil {
			return catalogue.Item{}, err
		}
		value = catalogue.Service{
			Name:          name,
			Routes:        routes,
			TokensPerCall: set.number("tokens_per_call", 1),
		}
	}
	if err := set.unused(); err != nil {
		return catalogue.Item{}, err
	}
	return catalogue.NewItem(k, name, value)
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parseRoutes reads routes like "GET /stock, POST /search", all idempotent.
func parseRoutes(text string) ([]catalogue.Route, error) {
	var out []catalogue.Route
	for _, part := range splitList(text) {
		method, path, ok := strings.Cut(strings.TrimSpace(part), " ")
		if !ok {
			return nil, fmt.Errorf("route %q is not a method and a path", part)
		}
		out = append(out, catalogue.Route{Method: method, Path: path, Idempotent: true})
	}
	return out, nil
}

func (e *Executor) show(ctx context.Context, s *ShowStatement) (Result, error) {
	snapshot := e.Catalogue.Current()
	switch s.Kind {
	case "workspaces":
		r := Result{Columns: []string{"name", "weight"}}
		for _, w := range snapshot.Workspaces() {
			r.Rows = append(r.Rows, []string{w.Name, strconv.FormatInt(w.Weight, 10)})
		}
		return r, nil
	case "targets":
		r := Result{Columns: []string{"addr", "models", "service", "leaving"}}
		for _, t := range snapshot.Targets() {
			r.Rows = append(r.Rows, []string{t.Addr, strings.Join(t.Models, ","), t.Service, strconv.FormatBool(t.Leaving)})
		}
		return r, nil
	case "routers":
		return Result{Columns: []string{"id", "caller_addr", "failure_domain", "state"}, Rows: e.Routers()}, nil
	case "budgets":
		return e.showBudgets(ctx)
	case "bills":
		return e.showBills(ctx)
	default:
		return Result{}, fmt.Errorf("%q can not be shown; allowed: workspaces, targets, routers, budgets, bills", s.Kind)
	}
}

func (e *Executor) showBudgets(ctx context.Context) (Result, error) {
	budgets, err := e.Ledger.List(ctx, "")
	if err != nil {
		return Result{}, fmt.Errorf("show budgets: %w", err)
	}
	r := Result{Columns: []string{"workspace", "name", "granted", "billed", "remaining"}}
	for _, b := range budgets {
		r.Rows = append(r.Rows, []string{
			b.ID.Workspace,
			b.ID.Name,
			strconv.FormatInt(b.Row.Granted, 10),
			strconv.FormatInt(b.Spent, 10),
			strconv.FormatInt(b.Row.Granted-b.Spent, 10),
		})
	}
	return r, nil
}

func (e *Executor) showBills(ctx context.Context) (Result, error) {
	bills, err := e.Ledger.Bills(ctx, "")
	if err != nil {
		return Result{}, fmt.Errorf("show bills: %w", err)
	}
	r := Result{Columns: []string{"workspace", "budget", "request_key", "tokens", "at"}}
	for _, b := range bills {
		r.Rows = append(r.Rows, []string{b.Workspace, b.Budget, b.RequestKey, strconv.FormatInt(b.Tokens(), 10), b.At.Format(time.RFC3339)})
	}
	return r, nil
}
