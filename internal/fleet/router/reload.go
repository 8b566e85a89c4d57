package router

import (
	"context"

	"github.com/charmbracelet/log"

	"rosevalve/internal/fleet/settings"
)

// reloadableSettings names the settings that take effect when they are reloaded.
const reloadableSettings = "router.drain_limit operator.key log.level"

// settings returns the settings in force. Only reloadableSettings may be read from them after the
// start; the others are in effect as they were at the start.
func (r *Router) settings() *settings.Settings { return r.currentSettings.Load() }

// watchSettings reloads the settings when their file changes or a signal arrives, until ctx ends.
// Invalid settings are logged and ignored.
func (r *Router) watchSettings(ctx context.Context) error {
	w := &settings.Watcher{
		Initial:  r.Settings,
		File:     r.SettingsFile,
		Signal:   r.ReloadSignal,
		Read:     r.ReadSettings,
		OnReload: r.applySettings,
		OnReject: func(cause string, err error) {
			r.Log.Warn("changed settings rejected, the previous ones stay in effect", "cause", cause, "err", err)
		},
	}
	return w.Run(ctx)
}

// applySettings puts the reloadable settings in force.
func (r *Router) applySettings(cause string, cfg settings.Settings) {
	r.currentSettings.Store(&cfg)
	r.Log.Info("settings reloaded", "cause", cause, "in_effect", reloadableSettings, "at_restart", "all others")
	level, err := log.ParseLevel(cfg.Log.Level)
	if err != nil {
		r.Log.Warn("log level is unknown", "level", cfg.Log.Level, "err", err)
		return
	}
	r.Log.SetLevel(level)
}
