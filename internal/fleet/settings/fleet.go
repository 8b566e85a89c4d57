package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Fleet holds the options of membership and of connections between routers.
type Fleet struct {
	// Seeds are the inner addresses of the routers that are contacted first to join the fleet.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats to peers.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a suspected router has to refute this before it is considered dead.
	SuspectAfter time.Duration
	// TLSCert, TLSKey and TLSCA are the paths of the PEM files for TLS between routers: this
	// router's certificate, its key, and the certificate authorities of the other routers.
	TLSCert string
	TLSKey  string
	TLSCA   string
	// PlaintextScope is "loopback" if unencrypted connections between routers are allowed on loopback only, or
	// "anywhere".
	PlaintextScope string
}

func (s *Fleet) options() []*Option {
	return []*Option{
		addrsOption("fleet", "seeds", "", "inner addresses of other routers to join the fleet through, separated by commas", &s.Seeds),
		durationOption("fleet", "heartbeat_interval", "500ms", "time between heartbeats to peers", 50*time.Millisecond, time.Minute, &s.HeartbeatInterval),
		durationOption("fleet", "suspect_after", "3s", "how long a suspected router has to refute the suspicion before it is considered dead", 100*time.Millisecond, 10*time.Minute, &s.SuspectAfter),
		pathOption("fleet", "tls_cert", "PEM file with this router's certificate for its IP address", &s.TLSCert),
		pathOption("fleet", "tls_key", "PEM file with the certificate's key", &s.TLSKey),
		pathOption("fleet", "tls_ca", "PEM file with the certificate authorities of the other routers", &s.TLSCA),
		choiceOption("fleet", "clear", "loopback", "where connections between routers may be unencrypted", []string{"loopback", "anywhere"}, &s.PlaintextScope),
	}
}

// pathOption accepts any text; the file is not opened.
func pathOption(section, key, doc string, out *string) *Option {
	return &Option{
		section: section, key: key, doc: doc,
		allowed: "a file path, or empty",
		parse: func(text string) error {
			*out = text
			return nil
		},
	}
}

// UsesTLS reports whether connections between routers use TLS.
func (s *Fleet) UsesTLS() bool { return s.TLSCert != "" }

// Validate returns an error for options that are valid on their own but not together.
func (s *Settings) Validate() error {
	f := s.Fleet
	tlsFiles := 0
	for _, path := range []string{f.TLSCert, f.TLSKey, f.TLSCA} {
		if path != "" {
			tlsFiles++
		}
	}
	if tlsFiles != 0 && tlsFiles != 3 {
		return fmt.Errorf("section [fleet]: tls_cert, tls_key and tls_ca must be set together")
	}
	listen, err := netip.ParseAddrPort(s.Router.InnerListen)
	if err != nil {
		return fmt.Errorf("section [router], key \"inner_listen\": value %q is not an IP address and a port", s.Router.InnerListen)
	}
	if !f.UsesTLS() && f.PlaintextScope != "anywhere" && !listen.Addr().IsLoopback() {
		return fmt.Errorf("section [router], key \"inner_listen\": %q is not on loopback; set tls_cert, tls_key and tls_ca in section [fleet], or clear = anywhere", listen)
	}
	return nil
}
