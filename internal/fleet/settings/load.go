package settings

import (
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"gopkg.in/ini.v1"
)

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

const envPrefix = "ROSEVALVE"

// Flags is a flag set with a flag for each option.
type Flags struct {
	settings Settings
	options  []*Option
	set      *ff.FlagSet
	file     string
	problems []error // found while the INI file was read
}

// NewFlags returns the flags of a router, with a flag for the INI file.
func NewFlags(name string) *Flags {
	f := &Flags{set: ff.NewFlagSet(name)}
	f.options = f.settings.Options()
	f.set.StringVar(&f.file, 0, "config", "", "INI file with the settings")
	for _, o := range f.options {
		f.set.StringVar(&o.value, 0, o.Name(), o.fallback, fmt.Sprintf("%s (%s)", o.doc, o.allowed))
	}
	return f
}

// Read reads the settings from the command line, the environment and the INI file.
func Read(name string, args []string) (Settings, error) {
	f := NewFlags(name)
	if err := ff.Parse(f.set, args, f.ParseOptions()...); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return f.Settings()
}

// File returns the INI file that the flags name, or "".
func (f *Flags) File() string { return f.file }

// FlagSet returns the flag set for a command.
func (f *Flags) FlagSet() *ff.FlagSet { return f.set }

// ParseOptions returns the sources besides the command line.
func (f *Flags) ParseOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(f.parseINI),
	}
}

// Settings returns the checked settings, or all that is wrong with them.
func (f *Flags) Settings() (Settings, error) {
	problems := f.problems
	for _, o := range f.options {
		if err := o.check(); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) == 0 {
		if err := f.settings.Check(); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) > 0 {
		return Settings{}, &ProblemsError{File: f.file, Problems: problems}
	}
	return f.settings, nil
}

// parseINI hands the keys of an INI file to the flags and collects the unknown ones.
func (f *Flags) parseINI(r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if len(text) > maxFile {
		return fmt.Errorf("settings file is larger than %d bytes", maxFile)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return fmt.Errorf("parse settings: %w", err)
	}
	known := make(map[string]bool)
	sections := make(map[string]bool)
	for _, o := range f.options {
		known[o.Name()] = true
		sections[o.section] = true
	}
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection && !sections[section.Name()] {
			f.problems = append(f.problems, fmt.Errorf("section [%s] does not exist", section.Name()))
			continue
		}
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			if !known[name] {
				f.problems = append(f.problems, fmt.Errorf("section [%s], key %q does not exist", section.Name(), key.Name()))
				continue
			}
			if len(key.ValueWithShadows()) > 1 {
				f.problems = append(f.problems, fmt.Errorf("section [%s], key %q is given twice", section.Name(), key.Name()))
			}
			if err := set(name, key.Value()); err != nil {
				return fmt.Errorf("set %s: %w", name, err)
			}
		}
	}
	return nil
}
