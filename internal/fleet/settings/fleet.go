package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Fleet holds the options of the routers among themselves.
type Fleet struct {
	// Seeds is the inner addresses that are asked first.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats to peers.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a silent router has to refute a suspicion.
	SuspectAfter time.Duration
	// TLSCert, TLSKey and TLSCA are the certificate files of inner connections.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// Clear is whether connections in clear may leave the machine.
	Clear string
}

func (s *Fleet) options() []*Option {
	return []*Option{
		addrsOption("fleet", "seeds", "", "inner addresses of other routers, separated by commas", &s.Seeds),
		durationOption("fleet", "heartbeat_interval", "500ms", "time between heartbeats to peers", 50*time.Millisecond, time.Minute, &s.HeartbeatInterval),
		durationOption("fleet", "suspect_after", "3s", "time in which a silent router may refute that it is gone", 100*time.Millisecond, 10*time.Minute, &s.SuspectAfter),
		pathOption("fleet", "tls_cert", "PEM file with this router's certificate for its IP address", &s.TLSCert),
		pathOption("fleet", "tls_key", "PEM file with the certificate's key", &s.TLSKey),
		pathOption("fleet", "tls_ca", "PEM file with the authorities of other routers' certificates", &s.TLSCA),
		choiceOption("fleet", "clear", "loopback", "where connections between routers may go without TLS", []string{"loopback", "anywhere"}, &s.Clear),
	}
}

func pathOption(section, key, doc string, out *string) *Option {
	return &Option{
		section: section, key: key, doc: doc,
		allowed: "a file, or nothing",
		parse: func(text string) error {
			*out = text
			return nil
		},
	}
}

// Secured reports whether inner connections use TLS.
func (s *Fleet) Secured() bool { return s.TLSCert != "" }

// Check returns what is wrong between options of different keys.
func (s *Settings) Check() error {
	f := s.Fleet
	given := 0
	for _, name := range []string{f.TLSCert, f.TLSKey, f.TLSCA} {
		if name != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return fmt.Errorf("section [fleet]: tls_cert, tls_key and tls_ca must be set together")
	}
	listen, err := netip.ParseAddrPort(s.Router.InnerListen)
	if err != nil {
		return fmt.Errorf("section [router], key \"inner_listen\": value %q is not an IP address and a port", s.Router.InnerListen)
	}
	if !f.Secured() && f.Clear != "anywhere" && !listen.Addr().IsLoopback() {
		return fmt.Errorf("section [router], key \"inner_listen\": %q is not on loopback; set tls_cert, tls_key and tls_ca in section [fleet], or clear = anywhere", listen)
	}
	return nil
}
