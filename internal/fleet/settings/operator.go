package settings

// Operator holds the options of the operators.
type Operator struct {
	// Key is the key of the first operator.
	Key string
}

func (s *Operator) options() []*Option {
	return []*Option{
		secretOption("operator", "key", "", "key of the first operator; empty allows no operator", &s.Key),
	}
}
