package edge

import (
	"context"
	"sync"
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/fleet/settings"
)

// settings returns the settings in force. Addresses, the VM's name and the retry window are
// fixed at the start and not reloaded.
func (e *Edge) settings() *settings.Settings { return e.currentSettings.Load() }

// retryLimits returns the settings of the retry budget.
func (e *Edge) retryLimits() (ratio, slack float64) {
	cfg := e.settings().Edge
	return cfg.RetryRatio, cfg.RetrySlack
}

// watchSettings reloads the settings when their file changes or a signal arrives, until ctx
// ends. Invalid settings are logged and ignored.
func (e *Edge) watchSettings(ctx context.Context) error {
	w := &settings.Watcher{
		Initial: e.Settings,
		File:    e.SettingsFile,
		Signal:  e.ReloadSignal,
		Read:    e.ReadSettings,
		OnReload: func(cause string, cfg settings.Settings) {
			e.toldAddresses.replaceAge(time.Now(), e.settings().Edge.DirectoryMaxAge)
			e.currentSettings.Store(&cfg)
			e.Events.Emit(eventlog.SettingsReloaded, "cause", cause, "seeds", cfg.Fleet.Seeds)
		},
		OnReject: func(cause string, err error) {
			e.Events.Emit(eventlog.SettingsRejected, "cause", cause, "err", err)
		},
	}
	return w.Run(ctx)
}

// toldAddresses holds how long callers may use addresses that the directory gave them with an age
// that was replaced since.
type toldAddresses struct {
	mu    sync.Mutex // guards until
	until time.Time
}

// replaceAge records that the directory gives addresses with another age than maxAge from now on.
func (a *toldAddresses) replaceAge(now time.Time, maxAge time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := now.Add(addressAgeFactor * maxAge); until.After(a.until) {
		a.until = until
	}
}

// ttl returns how long callers may still use an address that was given until now, at last with maxAge.
func (a *toldAddresses) ttl(now time.Time, maxAge time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(addressAgeFactor*maxAge, a.until.Sub(now))
}
