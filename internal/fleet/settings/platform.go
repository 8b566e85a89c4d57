package settings

// Platform holds the options of the platform's services.
type Platform struct {
	// Addr is the IP address and port that serve the table, the object store and the VM list.
	Addr string
}

func (s *Platform) options() []*Option {
	return []*Option{
		addrOption("platform", "addr", "127.0.0.1:7900", "address of the platform's services", &s.Addr),
	}
}
