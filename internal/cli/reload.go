package cli

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/settings"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal.
const lookEvery = 5 * time.Second

// watchSettings reads the settings anew on SIGHUP and when the file changes. The
// level of log lines takes effect at once; all else takes a restart, which the
// log says. Without the handler a SIGHUP would end the process and cut its
// requests.
func watchSettings(ctx context.Context, path string, now settings.Gateway, log *logrus.Logger) {
	hup := make(chan os.Signal, 1)
	// Never undone: a SIGHUP that comes while the process stops would have its
	// default effect, which is to end it in the middle of its requests.
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	seen := modified(path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-tick.C:
		}
		m := modified(path)
		if !asked && m.Equal(seen) {
			continue
		}
		seen = m
		now = reload(path, now, log)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced; the next look finds it.
		return time.Time{}
	}
	return info.ModTime()
}

// reload returns the settings in force afterwards.
func reload(path string, now settings.Gateway, log *logrus.Logger) settings.Gateway {
	s, err := settings.LoadGateway(path)
	if err != nil {
		log.WithError(err).Error("settings: refused, those before stay in force.")
		return now
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		log.SetLevel(level)
	}
	rest := s
	rest.LogLevel = now.LogLevel
	log.WithField("needsRestart", !reflect.DeepEqual(rest, now)).Info("settings: read anew.")
	return s
}
