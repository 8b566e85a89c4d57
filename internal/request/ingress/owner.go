package ingress

import (
	"sync"

	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/callers"
	"rosevalve/internal/request/memory"
)

const (
	// workspaceShare and keylessShare are the shares of the memory that the requests of one workspace, and those without a
	// valid key, may use.
	workspaceShare = 0.5
	keylessShare   = 0.25
)

// owners holds the memory of the workspaces' requests.
type owners struct {
	mu      sync.Mutex // guards budgets
	budgets map[string]*memory.Budget
}

// keylessOwner is the name in owners of requests without a valid key; no workspace has it.
const keylessOwner = ""

// budget returns the budget of a workspace, a share of total.
func (o *owners) budget(workspace string, share float64, total *memory.Budget) *memory.Budget {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.budgets[workspace]
	if b == nil {
		b = &memory.Budget{Limit: int64(share * float64(total.Limit))}
		if o.budgets == nil {
			o.budgets = make(map[string]*memory.Budget)
		}
		o.budgets[workspace] = b
	}
	return b
}

// setOwner reserves the memory of a request from the budget of its workspace as well.
func (s *Server) setOwner(ctx *fasthttp.RequestCtx, conn *callers.Conn) error {
	if s.Memory == nil || s.Owner == nil {
		return nil
	}
	workspace, valid := s.Owner(&ctx.Request.Header)
	if !valid {
		return conn.SetOwner(s.owners.budget(keylessOwner, keylessShare, s.Memory), true)
	}
	if workspace == "" {
		return nil
	}
	return conn.SetOwner(s.owners.budget(workspace, workspaceShare, s.Memory), false)
}
