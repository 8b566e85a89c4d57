package edge

import (
	"context"
	"os"
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

// fileInterval is the time between looks at the settings file.
const fileInterval = time.Second

// settings returns the settings in force. Addresses, the VM's name and the retry window
// stay as they were at the start.
func (e *Edge) settings() *settings.Settings { return e.current.Load() }

// retryTerms returns the terms of the retry budget.
func (e *Edge) retryTerms() (ratio, slack float64) {
	cfg := e.settings().Edge
	return cfg.RetryRatio, cfg.RetrySlack
}

// followSettings reads the settings again when their file changes or a signal says so,
// until ctx ends.
func (e *Edge) followSettings(ctx context.Context) error {
	seen := e.fileTime()
	tick := time.NewTicker(fileInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Hangup:
			e.reload("signal")
			seen = e.fileTime()
		case <-tick.C:
			if now := e.fileTime(); !now.Equal(seen) {
				seen = now
				e.reload("file")
			}
		}
	}
}

// fileTime returns when the settings file was last changed, or the zero time.
func (e *Edge) fileTime() time.Time {
	if e.File == "" {
		return time.Time{}
	}
	info, err := os.Stat(e.File)
	if err != nil {
		e.Events.Emit(eventlog.SettingsRejected, "cause", "file", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the settings of now in force; wrong ones change nothing.
func (e *Edge) reload(cause string) {
	cfg, err := e.Reload()
	if err != nil {
		e.Events.Emit(eventlog.SettingsRejected, "cause", cause, "err", err)
		return
	}
	e.current.Store(&cfg)
	e.Events.Emit(eventlog.SettingsReloaded, "cause", cause, "seeds", cfg.Fleet.Seeds)
}
