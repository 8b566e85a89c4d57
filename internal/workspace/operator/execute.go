package operator

import (
	"context"
	"fmt"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

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
	Columns []Column `json:"columns,omitempty"`
	Rows    [][]Cell `json:"rows,omitempty"`
	Message string   `json:"message,omitempty"`
	Version uint64   `json:"version,omitempty"`
}

// RouterVersion tells which configuration a router has in force.
type RouterVersion struct {
	Router string
	// Known is false if the router did not answer.
	Known   bool
	Version uint64
}

// Executor runs commands.
//
// The function fields are what other parts of the router know and do; a command
// that needs a nil one is refused.
type Executor struct {
	// Catalogue holds the configuration.
	Catalogue *catalogue.Catalogue
	// Ledger holds the budgets.
	Ledger *ledger.Ledger
	// Routers lists the routers with their states.
	Routers func(ctx context.Context) (Table, error)
	// Versions asks the routers which configuration they have in force.
	Versions func(ctx context.Context) []RouterVersion
	// Requests lists the requests in flight.
	Requests func(ctx context.Context) (Table, error)
	// Holdings lists what routers hold of budgets, all or only what is in doubt.
	Holdings func(ctx context.Context, inDoubt bool) (Table, error)
	// VMs lists the platform's VMs.
	VMs func(ctx context.Context) (Table, error)
	// Usage sums the use of a workspace, or of each if it is empty.
	Usage func(ctx context.Context, workspace string) (Table, error)
	// Explain tells the whole path of a request.
	Explain func(ctx context.Context, requestID string) (Table, error)
	// Cancel ends a request in flight.
	Cancel func(ctx context.Context, requestID string) error
	// Release gives a holding in doubt back to its budget.
	Release func(ctx context.Context, holding, commandID string) error
	// Order gives an order to a target; one that does not check fencing numbers must be free.
	Order func(ctx context.Context, target string, checksFencing bool, action string) error
	// ReleaseTarget ends a router's hold of a target that may still receive its orders.
	ReleaseTarget func(ctx context.Context, target string) error
	// DrainVM takes the router on a VM out of use, or back into it.
	DrainVM func(ctx context.Context, vm string, drain bool) error
}

// ErrNotAllowed reports that the operator's role does not allow the command.
var ErrNotAllowed = errors.New("role does not allow the command")

// command is a request on behalf of an operator.
type command struct {
	Request
	operator string
}

// Execute runs one command on behalf of an operator.
//
// Errors are a *PlaceError or *catalogue.RacedError, which are final refusals,
// ErrNotAllowed, or those of the table.
func (e *Executor) Execute(ctx context.Context, operator catalogue.Operator, req Request) (Result, error) {
	s, err := Parse(req.Command)
	if err != nil {
		return Result{}, err
	}
	if need := s.role(); operator.Role < need {
		return Result{}, fmt.Errorf("operator %q has role %s, not %s: %w", operator.Name, operator.Role, need, ErrNotAllowed)
	}
	r, err := e.run(ctx, command{Request: req, operator: operator.Name}, s)
	var unplaced *unplacedError
	if errors.As(err, &unplaced) {
		return Result{}, placeError(req.Command, unplaced.pos, unplaced.reason)
	}
	return r, err
}

// role returns the least role that may run the statement.
func (s *Statement) role() catalogue.Role {
	switch {
	case s.Show != nil, s.Help != nil, s.Explain != nil, s.Usage != nil:
		return catalogue.RoleRead
	case s.TopUp != nil, s.Drain != nil, s.Undrain != nil, s.Release != nil, s.Cancel != nil, s.Order != nil:
		return catalogue.RoleOperate
	default:
		return catalogue.RoleAdminister
	}
}

func (e *Executor) run(ctx context.Context, cmd command, s *Statement) (Result, error) {
	switch {
	case s.Create != nil && s.Create.Kind == budgetKind:
		return e.createBudget(ctx, cmd, s.Create)
	case s.Create != nil:
		return e.create(ctx, cmd, s.Create)
	case s.Set != nil:
		return e.set(ctx, cmd, s.Set)
	case s.Delete != nil:
		return e.delete(ctx, cmd, s.Delete)
	case s.Rotate != nil:
		return e.rotate(ctx, cmd, s.Rotate)
	case s.TopUp != nil:
		return e.topUp(ctx, cmd, s.TopUp)
	case s.Drain != nil:
		return e.drain(ctx, cmd, s.Drain, true)
	case s.Undrain != nil:
		return e.drain(ctx, cmd, s.Undrain, false)
	case s.Order != nil:
		return e.order(ctx, cmd, s.Order)
	case s.Release != nil && s.Release.Kind == "target":
		return e.releaseTarget(ctx, cmd, s.Release)
	case s.Release != nil:
		return e.release(ctx, cmd, s.Release)
	case s.Cancel != nil:
		return e.cancel(ctx, cmd, s.Cancel)
	default:
		return e.inspect(ctx, s)
	}
}

// inspect runs the statements that change nothing.
func (e *Executor) inspect(ctx context.Context, s *Statement) (Result, error) {
	switch {
	case s.Help != nil:
		return help(s.Help)
	case s.Usage != nil:
		return e.usage(ctx, s.Usage)
	case s.Explain != nil:
		return e.explain(ctx, s.Explain)
	default:
		return e.show(ctx, s.Show)
	}
}

// errNotConnected reports a command whose part of the router is missing.
func errNotConnected(what string) error {
	return fmt.Errorf("this router does not know %s", what)
}

func (e *Executor) usage(ctx context.Context, s *UsageStatement) (Result, error) {
	if e.Usage == nil {
		return Result{}, errNotConnected("usage")
	}
	workspace := ""
	if s.Workspace != nil {
		workspace = *s.Workspace
	}
	t, err := e.Usage(ctx, workspace)
	if err != nil {
		return Result{}, fmt.Errorf("sum usage: %w", err)
	}
	return Result{Columns: t.Columns, Rows: t.Rows}, nil
}

func (e *Executor) explain(ctx context.Context, s *RequestStatement) (Result, error) {
	if e.Explain == nil {
		return Result{}, errNotConnected("the paths of requests")
	}
	t, err := e.Explain(ctx, s.ID)
	if err != nil {
		return Result{}, fmt.Errorf("explain request %q: %w", s.ID, err)
	}
	return Result{Columns: t.Columns, Rows: t.Rows}, nil
}

// unexpected returns the error of a kind that the command does not know.
func unexpected(pos lexer.Position, what, got, allowed string) error {
	return errorf(pos, "%s %q does not exist; allowed: %s", what, got, allowed)
}
