// Package settings defines the options of a router: their sections, keys, defaults and valid
// values. A flag takes precedence over an environment variable, which takes precedence over the
// INI file. The reference page docs/CONFIGURATION.md is generated from the options.
package settings
