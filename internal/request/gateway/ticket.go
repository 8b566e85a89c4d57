package gateway

import (
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

// completionTicket returns the queue ticket of a completion request.
func completionTicket(req *admission.Request) queue.Request {
	w := req.Workspace()
	return queue.Request{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand: pool.Requirements{
			Model:  req.Model(),
			Urgent: req.Urgent(),
			Tokens: req.ExpectedTokens(),
			Prefix: req.PrefixHash(),
		},
	}
}

// serviceTicket returns the queue ticket of a call of a plain service. Such calls are
// always urgent.
func serviceTicket(w catalogue.Workspace, s catalogue.Service) queue.Request {
	return queue.Request{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand:    pool.Requirements{Service: s.Name, Urgent: true, Tokens: s.TokensPerCall},
	}
}
