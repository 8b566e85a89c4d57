package gateway

import (
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

// completionQueueRequest returns the queue request of a completion request.
func completionQueueRequest(req *admission.Request) queue.Request {
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

// serviceQueueRequest returns the queue request of a call of a plain service. Such calls are
// always urgent.
func serviceQueueRequest(w catalogue.Workspace, s catalogue.Service) queue.Request {
	return queue.Request{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand:    pool.Requirements{Service: s.Name, Urgent: true, Tokens: s.TokensPerCall},
	}
}
