package settings

import "time"

// Request holds the options of requests of callers.
type Request struct {
	// MaxTokens is the largest number of completion tokens.
	MaxTokens int64
	// DefaultTokens is the number of completion tokens of a request that gives none.
	DefaultTokens int64
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// ProgressTimeout is the longest time without a byte from a target.
	ProgressTimeout time.Duration
}

func (s *Request) options() []*Option {
	return []*Option{
		intOption("request", "max_tokens", "32768", "largest number of completion tokens of a request", 1, 1<<20, &s.MaxTokens),
		intOption("request", "default_tokens", "1024", "completion tokens of a request that gives no number", 1, 1<<20, &s.DefaultTokens),
		intOption("request", "max_body", "4194304", "largest request body in bytes", 1024, 1<<28, &s.MaxBody),
		durationOption("request", "progress_timeout", "10s", "longest time without a byte from a target", 100*time.Millisecond, time.Hour, &s.ProgressTimeout),
	}
}
