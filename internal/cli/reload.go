package cli

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/settings"
)

// pollInterval is the interval at which the settings file is checked for changes,
// which may come without a signal.
const pollInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file changes. A new
// log level takes effect at once; all other changes need a restart, which is
// logged. seen is the file's modification time before current was read.
func watchSettings(ctx context.Context, path string, current settings.Gateway, seen time.Time, hup <-chan os.Signal, log *logrus.Logger) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			requested = true
		case <-tick.C:
		}
		m := modTime(path)
		if !requested && m.Equal(seen) {
			continue
		}
		seen = m
		current = reload(path, current, log)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// The file may be in the middle of a replacement; the next check finds
		// the new one.
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and returns the new settings, or the current
// ones if the file is invalid.
func reload(path string, current settings.Gateway, log *logrus.Logger) settings.Gateway {
	s, err := settings.LoadGateway(path)
	if err != nil {
		log.WithError(err).Error("settings: reload rejected, previous settings stay in force.")
		return current
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	rest := s
	rest.LogLevel = current.LogLevel
	log.WithField("needsRestart", !reflect.DeepEqual(rest, current)).Info("settings: reloaded.")
	return s
}
