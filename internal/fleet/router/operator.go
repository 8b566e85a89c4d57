package router

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/operator"
)

const (
	operatorTimeout       = 10 * time.Second
	operatorRetryAfter    = time.Second // Retry-After of commands that may be retried
	bootstrapOperatorName = "first"     // the operator whose key is in the settings
	bearerPrefix          = "Bearer "
	maxCommandIDChars     = 100
)

// serveOperator authenticates the operator, executes the command in the request's body
// and writes its result.
func (r *Router) serveOperator(ctx *fasthttp.RequestCtx) {
	caller, ok := r.authenticateOperator(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		answer.Invalid(fasthttp.StatusUnauthorized, "Authorization", "operator key is not valid").Send(ctx, "")
		return
	}
	var req operator.Request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a command: %v", err).Send(ctx, "")
		return
	}
	if req.CommandID == "" || len(req.CommandID) > maxCommandIDChars || strings.ContainsAny(req.CommandID, "/ \t\n") {
		answer.Invalid(fasthttp.StatusBadRequest, "command_id", "field \"command_id\" is missing, too long, or has a slash or a space").Send(ctx, "")
		return
	}
	opCtx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	result, err := r.executor.Execute(opCtx, caller, req)
	if err != nil {
		r.Log.Info("command refused", "operator", caller.Name, "command", operator.Redact(req.Command), "err", err)
		commandError(err).Send(ctx, "")
		return
	}
	r.Log.Info("command executed", "operator", caller.Name, "command", operator.Redact(req.Command), "version", result.Version)
	httpjson.Write(ctx, fasthttp.StatusOK, result)
}

// authenticateOperator returns the operator whose key the Authorization header carries.
// The key in the settings belongs to an operator with the role to administer, who
// exists before any operator is configured.
func (r *Router) authenticateOperator(header string) (catalogue.Operator, bool) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return catalogue.Operator{}, false
	}
	bootstrapKey := r.settings().Operator.Key
	if bootstrapKey != "" && subtle.ConstantTimeCompare([]byte(bootstrapKey), []byte(key)) == 1 {
		return catalogue.Operator{Name: bootstrapOperatorName, Role: catalogue.RoleAdminister}, true
	}
	return r.catalogue.Current().OperatorByKey(key)
}

// commandError returns the HTTP answer to a failed command. After a 503 or 504 a client
// may retry the command with the same command id.
func commandError(err error) *answer.Error {
	var raced *catalogue.VersionConflictError
	var refused *catalogue.CommandRefusedError
	switch {
	case errors.Is(err, table.ErrUnknownOutcome):
		e := answer.Retryable(fasthttp.StatusGatewayTimeout, "outcome_unknown", operatorRetryAfter, "command may have taken effect; repeat it with the same command id: %v", err)
		e.Run = answer.Unknown
		return e
	case errors.Is(err, table.ErrUnavailable):
		return answer.Retryable(fasthttp.StatusServiceUnavailable, "table_unavailable", operatorRetryAfter, "%v", err)
	case errors.Is(err, operator.ErrNotAllowed):
		return answer.Invalid(fasthttp.StatusForbidden, "Authorization", "%v", err)
	case errors.As(err, &raced), errors.As(err, &refused):
		return answer.Invalid(fasthttp.StatusConflict, "command", "%v", err)
	default:
		return answer.Invalid(fasthttp.StatusBadRequest, "command", "%v", err)
	}
}
