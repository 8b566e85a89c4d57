package settings

import "slices"

// Settings are the validated options of a router, by section.
type Settings struct {
	Router        Router
	Edge          Edge
	Platform      Platform
	Fleet         Fleet
	Budget        Budget
	Request       Request
	Load          Load
	Configuration Configuration
	Operator      Operator
	Log           Log
}

// Options returns the options in the order of the reference page. Parsing the value of an option
// stores it in s.
func (s *Settings) Options() []*Option {
	return slices.Concat(
		s.Router.options(),
		s.Edge.options(),
		s.Platform.options(),
		s.Fleet.options(),
		s.Budget.options(),
		s.Request.options(),
		s.Load.options(),
		s.Configuration.options(),
		s.Operator.options(),
		s.Log.options(),
	)
}
