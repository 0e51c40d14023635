package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for changes. It bounds how long outdated seed
// addresses are used after a change without a signal.
const settingsPollInterval = 3 * time.Second

// notifyHangup catches SIGHUP for the rest of the process's life. It is never released: by default the signal ends
// the process, and the platform may send it before the settings were read, or while the process shuts down after a
// SIGTERM.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// settingsWatcher reloads the settings file on SIGHUP and when the file has changed. An invalid file changes nothing.
type settingsWatcher struct {
	path    string
	hangups <-chan os.Signal
	log     *zap.Logger
	reload  func(*settings.Settings)
}

// run watches the file until the context ends.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := fingerprintOf(w.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
		case <-ticker.C:
			if fingerprintOf(w.path) == seen {
				continue
			}
		}
		seen = fingerprintOf(w.path)
		w.readAndReload()
	}
}

func (w *settingsWatcher) readAndReload() {
	config, err := settings.Read(w.path)
	if err != nil {
		w.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	w.reload(config)
	w.log.Info("settings reloaded")
}

// fileFingerprint tells versions of a file apart. It is the zero value for a file that cannot be examined.
type fileFingerprint struct {
	size     int64
	modified int64 // Unix time in nanoseconds
}

func fingerprintOf(path string) fileFingerprint {
	info, err := os.Stat(path)
	if err != nil {
		return fileFingerprint{}
	}
	return fileFingerprint{info.Size(), info.ModTime().UnixNano()}
}
