package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Option describes one setting and where its value is stored.
type Option struct {
	section      string // of the INI file
	key          string // within the section
	value        string // unparsed, from the source with the highest precedence
	defaultValue string
	allowed      string                  // description of the valid values
	doc          string                  // description of the setting
	secret       bool                    // errors do not show the value
	parse        func(text string) error // validates the text and stores the value
}

// Name returns the name of the flag: the section and the key, separated by a dot.
func (o *Option) Name() string { return o.section + "." + o.key }

// Section returns the section of the INI file.
func (o *Option) Section() string { return o.section }

// Key returns the key within the section.
func (o *Option) Key() string { return o.key }

// Default returns the default value as text.
func (o *Option) Default() string { return o.defaultValue }

// Allowed returns a description of the valid values.
func (o *Option) Allowed() string { return o.allowed }

// Doc returns a description of the option.
func (o *Option) Doc() string { return o.doc }

// check parses and stores the value. It returns an error if the value is invalid.
func (o *Option) check() error {
	if err := o.parse(o.value); err != nil {
		displayed := o.value
		if o.secret {
			displayed = "***"
		}
		return fmt.Errorf("section [%s], key %q: value %q: %w; allowed: %s", o.section, o.key, displayed, err, o.allowed)
	}
	return nil
}

// addrOption accepts an IP address with a port.
func addrOption(section, key, defaultValue, doc string, out *string) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: "an IP address and a port",
		parse: func(text string) error {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return fmt.Errorf("not an IP address and a port")
			}
			*out = text
			return nil
		},
	}
}

// optionalAddrOption is like addrOption, but the value may be empty.
func optionalAddrOption(section, key, doc string, out *string) *Option {
	o := addrOption(section, key, "", doc, out)
	parse := o.parse
	o.allowed += ", or empty"
	o.parse = func(text string) error {
		if text == "" {
			*out = ""
			return nil
		}
		return parse(text)
	}
	return o
}

// addrsOption accepts a list of IP addresses with ports.
func addrsOption(section, key, defaultValue, doc string, out *[]string) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: "IP addresses with ports, separated by commas, or empty",
		parse: func(text string) error {
			*out = nil
			for part := range strings.SplitSeq(text, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				if _, err := netip.ParseAddrPort(part); err != nil {
					return fmt.Errorf("%q is not an IP address and a port", part)
				}
				*out = append(*out, part)
			}
			return nil
		},
	}
}

// pairsOption accepts a list of pairs of words.
func pairsOption(section, key, defaultValue, doc string, out *map[string]string) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: "pairs NAME:VALUE, separated by commas, or empty",
		parse: func(text string) error {
			*out = make(map[string]string)
			for part := range strings.SplitSeq(text, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				name, value, ok := strings.Cut(part, ":")
				if !ok || name == "" || value == "" {
					return fmt.Errorf("%q is not a pair NAME:VALUE", part)
				}
				(*out)[name] = value
			}
			return nil
		},
	}
}

// wordOption accepts text without spaces, tabs and slashes, or the empty text.
func wordOption(section, key, defaultValue, doc string, out *string) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: "text without spaces or slashes",
		parse: func(text string) error {
			if strings.ContainsAny(text, " \t/") {
				return fmt.Errorf("contains a space or a slash")
			}
			*out = text
			return nil
		},
	}
}

// secretOption is like wordOption, but errors do not show the value.
func secretOption(section, key, defaultValue, doc string, out *string) *Option {
	o := wordOption(section, key, defaultValue, doc, out)
	o.secret = true
	return o
}

// durationOption accepts a duration within the bounds, both included.
func durationOption(section, key, defaultValue, doc string, minValue, maxValue time.Duration, out *time.Duration) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: fmt.Sprintf("a duration from %s to %s", minValue, maxValue),
		parse: func(text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("not a duration")
			}
			if d < minValue || d > maxValue {
				return fmt.Errorf("out of range")
			}
			*out = d
			return nil
		},
	}
}

// intOption accepts an integer within the bounds, both included.
func intOption(section, key, defaultValue, doc string, minValue, maxValue int64, out *int64) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: fmt.Sprintf("a number from %d to %d", minValue, maxValue),
		parse: func(text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return fmt.Errorf("not a number")
			}
			if n < minValue || n > maxValue {
				return fmt.Errorf("out of range")
			}
			*out = n
			return nil
		},
	}
}

// numberOption accepts a number within the bounds, both included.
func numberOption(section, key, defaultValue, doc string, minValue, maxValue float64, out *float64) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: fmt.Sprintf("a number from %g to %g, with or without a fraction", minValue, maxValue),
		parse: func(text string) error {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return fmt.Errorf("not a number")
			}
			if !(n >= minValue && n <= maxValue) { // NaN is out of range too
				return fmt.Errorf("out of range")
			}
			*out = n
			return nil
		},
	}
}

// orDefault makes an option accept the empty text, which stands for its default value.
func orDefault(o *Option) *Option {
	parse := o.parse
	o.allowed += ", or empty for the default"
	o.parse = func(text string) error {
		if text == "" {
			return parse(o.defaultValue)
		}
		return parse(text)
	}
	return o
}

// choiceOption accepts one of the choices.
func choiceOption(section, key, defaultValue, doc string, choices []string, out *string) *Option {
	return &Option{
		section: section, key: key, defaultValue: defaultValue, doc: doc,
		allowed: strings.Join(choices, ", "),
		parse: func(text string) error {
			if !slices.Contains(choices, text) {
				return fmt.Errorf("not one of the allowed values")
			}
			*out = text
			return nil
		},
	}
}
