package operator

import (
	"context"
	"fmt"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"rosevalve/internal/budget/ledger"
	"rosevalve/internal/workspace/catalogue"
)

// Request is the body of a request to a router to run one command.
type Request struct {
	Command string `json:"command"`
	// CommandID is the idempotency key of the command: a retry with the same id takes effect once.
	CommandID string `json:"command_id"`
}

// Result is the response to a command. Columns and Rows are set by commands that return
// a table, Message by the others, and Version by those that changed the configuration.
type Result struct {
	Columns []Column `json:"columns,omitempty"`
	Rows    [][]Cell `json:"rows,omitempty"`
	Message string   `json:"message,omitempty"`
	Version uint64   `json:"version,omitempty"`
}

// RouterVersion is the version of the configuration that is in force on a router.
type RouterVersion struct {
	// Router is the inner address of the router.
	Router string
	// Ready reports whether the router answered and has read a configuration.
	Ready   bool
	Version uint64
}

// Executor runs commands on the configuration and the ledger.
//
// The function fields connect it to other parts of the router; a command that needs a
// function that is nil is refused.
type Executor struct {
	// Catalogue reads and changes the configuration.
	Catalogue *catalogue.Catalogue
	// Ledger reads and changes the budgets.
	Ledger *ledger.Ledger
	// Routers returns the routers with their states.
	Routers func(ctx context.Context) (Table, error)
	// QueryVersions queries all routers for the version of their configuration.
	QueryVersions func(ctx context.Context) []RouterVersion
	// Requests returns the requests in flight.
	Requests func(ctx context.Context) (Table, error)
	// Blocks lists the prompts that are kept from the engines, and why.
	Blocks func(ctx context.Context) (Table, error)
	// Holdings returns the budget tokens held by routers, for all holdings or only those in doubt.
	Holdings func(ctx context.Context, inDoubt bool) (Table, error)
	// VMs returns the platform's VMs.
	VMs func(ctx context.Context) (Table, error)
	// Usage returns the total usage of a workspace, or of every workspace if it is empty.
	Usage func(ctx context.Context, workspace string) (Table, error)
	// ExplainRequest returns what each router knows about a request, and its bill.
	ExplainRequest func(ctx context.Context, requestID string) (Table, error)
	// CancelRequest ends a request in flight, on whichever router it runs.
	CancelRequest func(ctx context.Context, requestID string) error
	// ReleaseHolding returns a holding in doubt to its budget.
	ReleaseHolding func(ctx context.Context, holding, commandID string) error
	// SendOrder sends an order to a target. A target that does not check fencing tokens must
	// not be claimed by another router.
	SendOrder func(ctx context.Context, target string, checksFencing bool, action string) error
	// ReleaseTarget ends a router's claim on a target that may still receive its orders.
	ReleaseTarget func(ctx context.Context, target string) error
	// DrainVM drains the router on a VM, or undrains it if drain is false.
	DrainVM func(ctx context.Context, vm string, drain bool) error
}

// ErrNotAllowed is returned for a command that the operator's role does not permit.
var ErrNotAllowed = errors.New("role does not allow the command")

// command is a request with the name of the operator who sent it.
type command struct {
	Request
	operator string
}

// Execute runs one command on behalf of an operator.
//
// A *PositionError, *catalogue.VersionConflictError or *catalogue.CommandRefusedError is a
// final refusal, as is ErrNotAllowed. Errors of the table are wrapped.
func (e *Executor) Execute(ctx context.Context, operator catalogue.Operator, req Request) (Result, error) {
	s, err := Parse(req.Command)
	if err != nil {
		return Result{}, err
	}
	if required := s.role(); operator.Role < required {
		return Result{}, fmt.Errorf("operator %q has role %s, not %s: %w", operator.Name, operator.Role, required, ErrNotAllowed)
	}
	r, err := e.dispatch(ctx, command{Request: req, operator: operator.Name}, s)
	var posErr *posError
	if errors.As(err, &posErr) {
		return Result{}, newPositionError(req.Command, posErr.pos, posErr.reason)
	}
	return r, err
}

// role returns the lowest role that is permitted to run the statement.
func (s *Statement) role() catalogue.Role {
	switch {
	case s.Show != nil, s.Help != nil, s.Explain != nil, s.Usage != nil:
		return catalogue.RoleRead
	case s.TopUp != nil, s.Drain != nil, s.Undrain != nil, s.Evacuate != nil, s.Restore != nil, s.Release != nil, s.Cancel != nil, s.Order != nil:
		return catalogue.RoleOperate
	default:
		return catalogue.RoleAdminister
	}
}

// dispatch runs the statement with the method for its kind.
func (e *Executor) dispatch(ctx context.Context, cmd command, s *Statement) (Result, error) {
	switch {
	case s.Create != nil && s.Create.Kind == budgetKind:
		return e.createBudget(ctx, cmd, s.Create)
	case s.Create != nil:
		return e.createItem(ctx, cmd, s.Create)
	case s.Set != nil:
		return e.setItem(ctx, cmd, s.Set)
	case s.Delete != nil:
		return e.deleteItem(ctx, cmd, s.Delete)
	case s.Rotate != nil:
		return e.rotateKey(ctx, cmd, s.Rotate)
	case s.TopUp != nil:
		return e.topUp(ctx, cmd, s.TopUp)
	case s.Drain != nil:
		return e.drain(ctx, cmd, s.Drain, true)
	case s.Undrain != nil:
		return e.drain(ctx, cmd, s.Undrain, false)
	case s.Evacuate != nil:
		return e.evacuate(ctx, cmd, s.Evacuate)
	case s.Restore != nil:
		return e.restore(ctx, cmd, s.Restore)
	case s.Order != nil:
		return e.orderTarget(ctx, cmd, s.Order)
	case s.Release != nil && s.Release.Kind == "target":
		return e.releaseTarget(ctx, cmd, s.Release)
	case s.Release != nil:
		return e.releaseHolding(ctx, cmd, s.Release)
	case s.Cancel != nil:
		return e.cancelRequest(ctx, cmd, s.Cancel)
	default:
		return e.dispatchRead(ctx, s)
	}
}

// dispatchRead runs the read-only statements.
func (e *Executor) dispatchRead(ctx context.Context, s *Statement) (Result, error) {
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

// errUnsupported returns the error for a command whose function field of Executor is nil.
func errUnsupported(what string) error {
	return fmt.Errorf("this router does not know %s", what)
}

// usage returns the total usage of one workspace or of each.
func (e *Executor) usage(ctx context.Context, s *UsageStatement) (Result, error) {
	if e.Usage == nil {
		return Result{}, errUnsupported("usage")
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

// explain returns what is known about one request.
func (e *Executor) explain(ctx context.Context, s *RequestStatement) (Result, error) {
	if e.ExplainRequest == nil {
		return Result{}, errUnsupported("the paths of requests")
	}
	t, err := e.ExplainRequest(ctx, s.ID)
	if err != nil {
		return Result{}, fmt.Errorf("explain request %q: %w", s.ID, err)
	}
	return Result{Columns: t.Columns, Rows: t.Rows}, nil
}

// errUnknownName returns the error for a name that is not among the allowed ones; what is
// the sort of name, such as "column".
func errUnknownName(pos lexer.Position, what, got, allowed string) error {
	return errorf(pos, "%s %q does not exist; allowed: %s", what, got, allowed)
}
