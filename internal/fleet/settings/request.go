package settings

import "time"

// Request holds the limits of callers' requests and of the connections to targets.
type Request struct {
	// MaxTokens is the largest number of completion tokens that a request may ask for.
	MaxTokens int64
	// DefaultTokens is the number of completion tokens of a request that does not set it.
	DefaultTokens int64
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// FirstByteTimeout is the longest wait for the first byte of a target's answer.
	FirstByteTimeout time.Duration
	// ProgressTimeout is the longest wait between two bytes of a target's answer.
	ProgressTimeout time.Duration
	// ConnectionMaxAge is the age after which a connection to a target takes no new requests.
	ConnectionMaxAge time.Duration
	// MaxRuns is the largest number of concurrent requests.
	MaxRuns int64
}

func (s *Request) options() []*Option {
	return []*Option{
		intOption("request", "max_tokens", "32768", "largest number of completion tokens that a request may ask for", 1, 1<<20, &s.MaxTokens),
		intOption("request", "default_tokens", "1024", "completion tokens of a request that does not set the number", 1, 1<<20, &s.DefaultTokens),
		intOption("request", "max_body", "4194304", "largest request body, in bytes", 1024, 1<<28, &s.MaxBody),
		durationOption("request", "first_byte_timeout", "30s", "longest wait for the first byte of a target's answer", 100*time.Millisecond, time.Hour, &s.FirstByteTimeout),
		durationOption("request", "progress_timeout", "10s", "longest wait between two bytes of a target's answer", 100*time.Millisecond, time.Hour, &s.ProgressTimeout),
		durationOption("request", "connection_max_age", "10m", "age after which a connection to a target takes no new requests", time.Second, 24*time.Hour, &s.ConnectionMaxAge),
		intOption("request", "max_runs", "16384", "largest number of concurrent requests", 1, 1<<20, &s.MaxRuns),
	}
}
