package operator

import (
	"fmt"
	"maps"
	"slices"
)

// settings are the words of a command with their values; each is taken once.
type settings map[string]Value

func newSettings(list []*Setting) (settings, error) {
	set := make(settings)
	for _, s := range list {
		if _, ok := set[s.Key]; ok {
			return nil, fmt.Errorf("%s: setting %q is given twice", s.Pos, s.Key)
		}
		set[s.Key] = s.Value
	}
	return set, nil
}

func (s settings) text(key, fallback string) string {
	v, ok := s[key]
	if !ok || v.Text == nil {
		return fallback
	}
	delete(s, key)
	return *v.Text
}

func (s settings) number(key string, fallback int64) int64 {
	v, ok := s[key]
	if !ok || v.Number == nil {
		return fallback
	}
	delete(s, key)
	return *v.Number
}

// unused reports settings that are unknown or have a value of the wrong kind.
func (s settings) unused() error {
	for _, key := range slices.Sorted(maps.Keys(s)) {
		return fmt.Errorf("setting %q is unknown here or its value has the wrong kind", key)
	}
	return nil
}
