// Package settings owns the router's options: their sections, keys, defaults and
// checks. Values come from flags, the environment and an INI file, in that order.
// The command line reads them; docs/CONFIGURATION.md is made from them.
package settings
