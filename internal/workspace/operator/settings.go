package operator

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// settings are the words of a command with their values; each is taken once.
type settings struct {
	left    []*Setting
	problem error // the first value of a wrong kind
}

func newSettings(list []*Setting) (*settings, error) {
	seen := make(map[string]bool)
	for _, s := range list {
		if seen[s.Key] {
			return nil, errorf(s.Pos, "setting %q is given twice", s.Key)
		}
		seen[s.Key] = true
	}
	return &settings{left: slices.Clone(list)}, nil
}

// take removes and returns the setting with the key.
func (s *settings) take(key string) (*Setting, bool) {
	for i, v := range s.left {
		if v.Key == key {
			s.left = slices.Delete(s.left, i, i+1)
			return v, true
		}
	}
	return nil, false
}

func (s *settings) fail(pos lexer.Position, format string, args ...any) {
	if s.problem == nil {
		s.problem = errorf(pos, format, args...)
	}
}

// text replaces out if the setting is given.
func (s *settings) text(key string, out *string) (lexer.Position, bool) {
	v, ok := s.take(key)
	if !ok {
		return lexer.Position{}, false
	}
	if v.Value.Text == nil {
		s.fail(v.Value.Pos, "value of %q is not a text in quotes", key)
		return v.Value.Pos, false
	}
	*out = *v.Value.Text
	return v.Value.Pos, true
}

// list replaces out with the parts of a text between commas, if the setting is given.
func (s *settings) list(key string, out *[]string) {
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

// number replaces out if the setting is given.
func (s *settings) number(key string, least, most int64, out *int64) {
	v, ok := s.take(key)
	if !ok {
		return
	}
	if v.Value.Number == nil || *v.Value.Number < least || *v.Value.Number > most {
		s.fail(v.Value.Pos, "value of %q is not a number from %d to %d", key, least, most)
		return
	}
	*out = *v.Value.Number
}

// truth replaces out if the setting is given.
func (s *settings) truth(key string, out *bool) {
	v, ok := s.take(key)
	if !ok {
		return
	}
	if v.Value.Bool == nil {
		s.fail(v.Value.Pos, "value of %q is not true or false", key)
		return
	}
	*out = *v.Value.Bool == "true"
}

// finish returns the first problem, or that of a setting which nothing took.
func (s *settings) finish(allowed string) error {
	if s.problem != nil {
		return s.problem
	}
	if len(s.left) > 0 {
		return unexpected(s.left[0].Pos, "setting", s.left[0].Key, allowed)
	}
	return nil
}
