package settings

// Operator holds the options of operator access.
type Operator struct {
	// Key is the key of the first operator, who may administer the fleet. If it is empty, only
	// operators of the configuration have access.
	Key string
}

func (s *Operator) options() []*Option {
	return []*Option{
		secretOption("operator", "key", "", "key of the first operator; if empty, only operators of the configuration have access", &s.Key),
	}
}
