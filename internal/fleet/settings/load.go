package settings

import (
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"gopkg.in/ini.v1"
)

// maxFileBytes is the largest INI file that is read.
const maxFileBytes = 1 << 20

// envPrefix starts the names of all environment variables.
const envPrefix = "ROSEVALVE"

// Flags is a flag set with one flag for each option, which also reads the environment and the
// INI file.
type Flags struct {
	settings Settings
	options  []*Option
	flagSet  *ff.FlagSet
	file     string  // path of the INI file, or empty
	problems []error // errors found while the INI file was read
}

// NewFlags returns a flag set of the given name with the flags of all options and the flag
// --config for the INI file.
func NewFlags(name string) *Flags {
	f := &Flags{flagSet: ff.NewFlagSet(name)}
	f.options = f.settings.Options()
	f.flagSet.StringVar(&f.file, 0, "config", "", "INI file with the settings")
	for _, o := range f.options {
		f.flagSet.StringVar(&o.value, 0, o.Name(), o.defaultValue, fmt.Sprintf("%s (%s)", o.doc, o.allowed))
	}
	return f
}

// Read returns the validated settings from the arguments args, the environment and the INI file.
// The name is that of the flag set.
func Read(name string, args []string) (Settings, error) {
	f := NewFlags(name)
	if err := ff.Parse(f.flagSet, args, f.ParseOptions()...); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return f.Settings()
}

// File returns the path of the INI file, or "" if there is none.
func (f *Flags) File() string { return f.file }

// FlagSet returns the flag set, for use in a command.
func (f *Flags) FlagSet() *ff.FlagSet { return f.flagSet }

// ParseOptions returns the options of ff.Parse that add the environment and the INI file.
func (f *Flags) ParseOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(f.parseINI),
	}
}

// Settings validates the parsed flags and returns the settings. All invalid settings are reported
// in one ProblemsError.
func (f *Flags) Settings() (Settings, error) {
	problems := f.problems
	for _, o := range f.options {
		if err := o.check(); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) == 0 {
		if err := f.settings.Validate(); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) > 0 {
		return Settings{}, &ProblemsError{File: f.file, Problems: problems}
	}
	return f.settings, nil
}

// parseINI calls set for each known key of an INI file. Unknown sections, unknown keys and repeated
// keys are collected in f.problems instead of ending the parse.
func (f *Flags) parseINI(r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if len(text) > maxFileBytes {
		return fmt.Errorf("settings file is larger than %d bytes", maxFileBytes)
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
