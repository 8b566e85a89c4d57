package settings

// Log holds the options of log records.
type Log struct {
	// Level is the lowest level that is logged.
	Level string
	// Format is text or json.
	Format string
}

func (s *Log) options() []*Option {
	return []*Option{
		choiceOption("log", "level", "info", "lowest level that is logged", []string{"debug", "info", "warn", "error"}, &s.Level),
		choiceOption("log", "format", "text", "format of log records", []string{"text", "json"}, &s.Format),
	}
}
