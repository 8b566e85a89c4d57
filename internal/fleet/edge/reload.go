package edge

import (
	"context"
	"os"
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

// filePollInterval is the time between checks of the settings file for changes.
const filePollInterval = time.Second

// settings returns the settings in force. Addresses, the VM's name and the retry window are
// fixed at the start and not reloaded.
func (e *Edge) settings() *settings.Settings { return e.currentSettings.Load() }

// retryLimits returns the settings of the retry budget.
func (e *Edge) retryLimits() (ratio, slack float64) {
	cfg := e.settings().Edge
	return cfg.RetryRatio, cfg.RetrySlack
}

// watchSettings reloads the settings when their file changes or a signal arrives, until ctx
// ends.
func (e *Edge) watchSettings(ctx context.Context) error {
	modTime := e.fileModTime()
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.ReloadSignal:
			e.reload("signal")
			modTime = e.fileModTime()
		case <-tick.C:
			if current := e.fileModTime(); !current.Equal(modTime) {
				modTime = current
				e.reload("file")
			}
		}
	}
}

// fileModTime returns the modification time of the settings file, or the zero time if it
// is not set or cannot be read.
func (e *Edge) fileModTime() time.Time {
	if e.SettingsFile == "" {
		return time.Time{}
	}
	info, err := os.Stat(e.SettingsFile)
	if err != nil {
		e.Events.Emit(eventlog.SettingsRejected, "cause", "file", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings and puts them in force. Invalid settings are logged and ignored.
func (e *Edge) reload(cause string) {
	cfg, err := e.ReadSettings()
	if err != nil {
		e.Events.Emit(eventlog.SettingsRejected, "cause", cause, "err", err)
		return
	}
	e.currentSettings.Store(&cfg)
	e.Events.Emit(eventlog.SettingsReloaded, "cause", cause, "seeds", cfg.Fleet.Seeds)
}
