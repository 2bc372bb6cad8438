package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// fileCheckPeriod is how often the settings file is checked for changes, because it may change without a signal.
const fileCheckPeriod = 5 * time.Second

// HangUps returns a channel that receives each SIGHUP. From this call on, the signal no longer ends the process.
func HangUps() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// WatchSettings reloads the settings file at each hang-up and when its modification time changes, until ctx ends.
func (entryVM *EntryVM) WatchSettings(ctx context.Context, path string, hangUps <-chan os.Signal) {
	modified := modifiedAt(path)
	ticks := make(chan struct{}, 1)
	defer entryVM.timerService.Every(fileCheckPeriod, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			modified = modifiedAt(path)
			entryVM.reload(path, "signal")
		case <-ticks:
			if latest := modifiedAt(path); !latest.Equal(modified) {
				modified = latest
				entryVM.reload(path, "file_changed")
			}
		}
	}
}

// modifiedAt returns the modification time of a file. For a file whose status cannot be read it returns the zero time, as for
// one that never existed; reading the file at the next signal reports the error.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies changed settings. Invalid settings leave the previous ones in force.
func (entryVM *EntryVM) reload(path, cause string) {
	log := entryVM.log.WithField("cause", cause)
	settings, err := LoadSettings(path)
	if err != nil {
		log.WithError(err).Error("changed settings are invalid; the previous ones stay in force")
		return
	}
	former := entryVM.settings.Load()
	if !former.sameIdentity(settings) {
		log.WithField("settings", settings).Error("changed settings have another VM, address or store; they take effect at the next start")
		return
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err == nil {
		entryVM.log.Logger.SetLevel(level)
	}
	entryVM.settings.Store(&settings)
	log.WithField("settings", settings).Info("settings are reloaded")
}
