package settings

import (
	"context"
	"os"
	"reflect"
	"time"
)

// filePollInterval is the time between checks of the settings file for changes. A changed file is read
// at the second check that finds it unchanged since, so that a file in the middle of being written is
// not read.
const filePollInterval = 500 * time.Millisecond

// Causes of reading the settings again.
const (
	causeSignal = "signal"
	causeFile   = "file"
)

// Watcher reads the settings of a process again when their file changes or a signal arrives. All
// fields are set before Run.
type Watcher struct {
	// Initial are the settings with which the process started.
	Initial Settings
	// File is the settings file that is polled for changes; empty disables polling.
	File string
	// Signal receives a signal when the settings shall be read again; nil disables reading by signal.
	Signal <-chan os.Signal
	// Read reads and validates the settings.
	Read func() (Settings, error)
	// OnReload is called with the settings that were read after a signal, or after a change of the file
	// that changed a setting.
	OnReload func(cause string, s Settings)
	// OnReject is called if the settings cannot be read or are invalid.
	OnReject func(cause string, err error)

	last     Settings    // passed to OnReload last
	polled   os.FileInfo // of the file at the last poll; nil if there was none
	readFrom os.FileInfo // of the file before it was read last; nil if there was none
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.last = w.Initial
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.Signal:
			w.reload(causeSignal, w.stat())
		case <-tick.C:
			w.poll()
		}
	}
}

// poll reads the file if it has changed since it was read, but not since the last poll.
func (w *Watcher) poll() {
	if w.File == "" {
		return
	}
	current := w.stat()
	settled := isSameFile(current, w.polled)
	w.polled = current
	if settled && !isSameFile(current, w.readFrom) {
		w.reload(causeFile, current)
	}
}

// reload reads the settings. The file had the state from before, so that a change while it is read is
// noticed by a later poll.
func (w *Watcher) reload(cause string, from os.FileInfo) {
	w.readFrom = from
	s, err := w.Read()
	if err != nil {
		w.OnReject(cause, err)
		return
	}
	if cause == causeFile && reflect.DeepEqual(s, w.last) {
		return
	}
	w.last = s
	w.OnReload(cause, s)
}

// stat returns the state of the settings file, or nil if it cannot be determined. Reading such a file
// fails too and is reported then.
func (w *Watcher) stat() os.FileInfo {
	if w.File == "" {
		return nil
	}
	info, err := os.Stat(w.File)
	if err != nil {
		return nil
	}
	return info
}

// isSameFile reports whether two states of a file are of the same file with the same content.
func isSameFile(a, b os.FileInfo) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}
