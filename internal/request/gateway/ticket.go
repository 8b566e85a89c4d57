package gateway

import (
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

// completionTicket returns the queue ticket of a completion request.
func completionTicket(req *admission.Request) queue.Ticket {
	w := req.Workspace()
	return queue.Ticket{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand: pool.Demand{
			Model:  req.Model(),
			Urgent: req.Urgent(),
			Tokens: req.ExpectedTokens(),
			Prefix: req.Prefix(),
		},
	}
}

// serviceTicket returns the queue ticket of a call of a plain service. Such calls are
// always urgent.
func serviceTicket(w catalogue.Workspace, s catalogue.Service) queue.Ticket {
	return queue.Ticket{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand:    pool.Demand{Service: s.Name, Urgent: true, Tokens: s.TokensPerCall},
	}
}
