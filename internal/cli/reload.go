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

// settingsPollInterval is the interval at which the settings file is checked for changes. It bounds how long outdated
// seed addresses are used if no signal follows a change.
const settingsPollInterval = 3 * time.Second

// notifyHangup returns a channel that receives SIGHUP until the process exits. The signal is never reset to its
// default, which ends the process, because the platform may send it before the settings have been read or during the
// shutdown after SIGTERM.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// settingsWatcher reloads the settings file on SIGHUP and when the file has changed. It ignores an invalid file, except
// for a warning in the log.
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

// readAndReload reads the file and applies it to the role if it is valid.
func (w *settingsWatcher) readAndReload() {
	config, err := settings.Read(w.path)
	if err != nil {
		w.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	w.reload(config)
	w.log.Info("settings reloaded")
}

// fileFingerprint distinguishes versions of a file. It is the zero value if the file's attributes cannot be read.
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
