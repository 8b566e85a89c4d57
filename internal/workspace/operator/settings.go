package operator

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// settingReader reads the settings of a command by key. Each read removes its setting;
// finish reports those that were not read and the first invalid value.
type settingReader struct {
	remaining []*Setting // not read yet
	firstErr  error      // for the first invalid value
}

// newSettingReader returns a reader of the settings, or an error if a key occurs twice.
func newSettingReader(list []*Setting) (*settingReader, error) {
	seen := make(map[string]bool)
	for _, s := range list {
		if seen[s.Key] {
			return nil, errorf(s.Pos, "setting %q is given twice", s.Key)
		}
		seen[s.Key] = true
	}
	return &settingReader{remaining: slices.Clone(list)}, nil
}

// take removes and returns the setting with the key.
func (s *settingReader) take(key string) (*Setting, bool) {
	for i, v := range s.remaining {
		if v.Key == key {
			s.remaining = slices.Delete(s.remaining, i, i+1)
			return v, true
		}
	}
	return nil, false
}

// recordError keeps the error for finish, unless there is an earlier one.
func (s *settingReader) recordError(pos lexer.Position, format string, args ...any) {
	if s.firstErr == nil {
		s.firstErr = errorf(pos, format, args...)
	}
}

// text sets out to a text setting. It returns the position of the value and whether out
// was set.
func (s *settingReader) text(key string, out *string) (lexer.Position, bool) {
	v, ok := s.take(key)
	if !ok {
		return lexer.Position{}, false
	}
	if v.Value.Text == nil {
		s.recordError(v.Value.Pos, "value of %q is not a text in quotes", key)
		return v.Value.Pos, false
	}
	*out = *v.Value.Text
	return v.Value.Pos, true
}

// list sets out to the parts of a comma-separated text setting, if the setting is given.
func (s *settingReader) list(key string, out *[]string) {
	text := ""
	if _, ok := s.text(key, &text); !ok {
		return
	}
	*out = nil
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*out = append(*out, part)
		}
	}
}

// number sets out to a setting from minimum to maximum, if the setting is given.
func (s *settingReader) number(key string, minimum, maximum int64, out *int64) {
	v, ok := s.take(key)
	if !ok {
		return
	}
	if v.Value.Number == nil || *v.Value.Number < minimum || *v.Value.Number > maximum {
		s.recordError(v.Value.Pos, "value of %q is not a number from %d to %d", key, minimum, maximum)
		return
	}
	*out = *v.Value.Number
}

// boolean sets out to a boolean setting, if the setting is given.
func (s *settingReader) boolean(key string, out *bool) {
	v, ok := s.take(key)
	if !ok {
		return
	}
	if v.Value.Bool == nil {
		s.recordError(v.Value.Pos, "value of %q is not true or false", key)
		return
	}
	*out = *v.Value.Bool == "true"
}

// finish returns the error for the first invalid value, or else for a setting that was not
// read; allowed lists the valid keys for the error text.
func (s *settingReader) finish(allowed string) error {
	if s.firstErr != nil {
		return s.firstErr
	}
	if len(s.remaining) > 0 {
		return errUnknownName(s.remaining[0].Pos, "setting", s.remaining[0].Key, allowed)
	}
	return nil
}
