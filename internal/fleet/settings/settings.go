package settings

import (
	"time"
)

// Settings are a router's checked options.
type Settings struct {
	// Listen is the address for callers and operators.
	Listen string
	// InnerListen is the address for other routers.
	InnerListen string
	// FailureDomain is where the VM stands.
	FailureDomain string
	// Region is the group of failure domains.
	Region string
	// PlatformAddr is the address of the platform's services.
	PlatformAddr string
	// Seeds are inner addresses of other routers.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats to peers.
	HeartbeatInterval time.Duration
	// EntryMaxAge is how long callers may keep a list of routers.
	EntryMaxAge time.Duration
	// DrainLimit bounds a graceful stop.
	DrainLimit time.Duration
	// DrawSize is the number of tokens drawn from a budget at a time.
	DrawSize int64
	// SettleInterval is the time between settlements of bills.
	SettleInterval time.Duration
	// MaxTokens is the largest number of completion tokens of a request.
	MaxTokens int64
	// DefaultTokens is the number of completion tokens of a request that gives none.
	DefaultTokens int64
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// Progress bounds the time without a byte from a target.
	Progress time.Duration
	// OperatorKey is the key of the first operator.
	OperatorKey string
	// LogLevel is the lowest level that is logged.
	LogLevel string
	// LogFormat is text or json.
	LogFormat string
}

// Options returns the options with their defaults, bound to the settings.
func (s *Settings) Options() []*Option {
	return []*Option{
		addrOption("router", "listen", "127.0.0.1:7001", "address for callers and operators", &s.Listen),
		addrOption("router", "inner_listen", "127.0.0.1:7101", "address for other routers", &s.InnerListen),
		wordOption("router", "failure_domain", "fd-1", "failure domain of this VM", &s.FailureDomain),
		wordOption("router", "region", "region-1", "region of this VM", &s.Region),
		durationOption("router", "entry_max_age", "5s", "how long callers may keep a list of routers", time.Second, time.Hour, &s.EntryMaxAge),
		durationOption("router", "drain_limit", "5m", "longest duration of a graceful stop", time.Second, time.Hour, &s.DrainLimit),
		addrOption("platform", "addr", "127.0.0.1:7900", "address of the platform's services", &s.PlatformAddr),
		addrsOption("fleet", "seeds", "", "inner addresses of other routers, separated by commas", &s.Seeds),
		durationOption("fleet", "heartbeat_interval", "500ms", "time between heartbeats to peers", 50*time.Millisecond, time.Minute, &s.HeartbeatInterval),
		intOption("budget", "draw_size", "200000", "tokens drawn from a budget at a time", 1, 1<<40, &s.DrawSize),
		durationOption("budget", "settle_interval", "100ms", "time between settlements of bills", 10*time.Millisecond, time.Minute, &s.SettleInterval),
		intOption("request", "max_tokens", "32768", "largest number of completion tokens of a request", 1, 1<<20, &s.MaxTokens),
		intOption("request", "default_tokens", "1024", "completion tokens of a request that gives no number", 1, 1<<20, &s.DefaultTokens),
		intOption("request", "max_body", "4194304", "largest request body in bytes", 1024, 1<<28, &s.MaxBody),
		durationOption("request", "progress_timeout", "10s", "longest time without a byte from a target", 100*time.Millisecond, time.Hour, &s.Progress),
		wordOption("operator", "key", "", "key of the first operator; empty allows no operator", &s.OperatorKey),
		choiceOption("log", "level", "info", "lowest level that is logged", []string{"debug", "info", "warn", "error"}, &s.LogLevel),
		choiceOption("log", "format", "text", "format of log records", []string{"text", "json"}, &s.LogFormat),
	}
}
