package gateway

import (
	"rosevalve/internal/request/admission"
	"rosevalve/internal/request/queue"
	"rosevalve/internal/target/pool"
	"rosevalve/internal/workspace/catalogue"
)

// ticket asks for a place for a completion.
func ticket(req *admission.Request) queue.Ticket {
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

// serviceTicket asks for a place for a call of a plain service.
func serviceTicket(w catalogue.Workspace, s catalogue.Service) queue.Ticket {
	return queue.Ticket{
		Workspace: w.Name,
		Weight:    w.Weight,
		Demand:    pool.Demand{Service: s.Name, Urgent: true, Tokens: s.TokensPerCall},
	}
}
