package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// filePeriod is how often the settings file is looked at; it may change without a signal.
const filePeriod = 5 * time.Second

// WatchSettings takes over changes of the settings file, at SIGHUP and when the file is newer than before, until ctx ends.
func (entryVM *EntryVM) WatchSettings(ctx context.Context, path string) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	modified := modifiedAt(path)
	ticks := make(chan struct{}, 1)
	defer entryVM.timerService.Every(filePeriod, func(time.Time) {
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

// modifiedAt returns when the file was written last. A file that cannot be looked at counts as unchanged from one
// that never existed; reading it at the next signal reports the fault.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts changed settings into force. Settings that cannot be used leave the former ones in force.
func (entryVM *EntryVM) reload(path, cause string) {
	log := entryVM.log.WithField("cause", cause)
	settings, err := LoadSettings(path)
	if err != nil {
		log.WithError(err).Error("changed settings cannot be used; the former ones stay in force")
		return
	}
	former := entryVM.settings.Load()
	if !former.sameIdentity(settings) {
		log.WithField("settings", settings).Error("changed settings name another VM, address or store; they are used from the next start on")
		return
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err == nil {
		entryVM.log.Logger.SetLevel(level)
	}
	entryVM.settings.Store(&settings)
	log.WithField("settings", settings).Info("settings are reloaded")
}
