// This file watches a daemon's settings for changes while it runs.

package daemon

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"myrtlefold/internal/shared/tuning"
)

// settingsWatcher is the settings as they were last read and as they are in effect; its goroutine owns it.
type settingsWatcher struct {
	*Process
	setSeeds func([]string)
	lastRead string // the text, or the error in its place
	inEffect Settings
}

// WatchSettings reads the settings each tuning.SettingsEvery and at once on SIGHUP, until the context ends. Valid
// changes of log level, seeds and memory take effect; others wait for the next start; invalid ones are logged once and
// the previous settings kept.
func (p *Process) WatchSettings(ctx context.Context, setSeeds func([]string)) {
	w := &settingsWatcher{Process: p, setSeeds: setSeeds, lastRead: string(p.rawSettings), inEffect: p.Settings}
	go w.run(ctx)
}

func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(tuning.SettingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.hangups:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.reload()
	}
}

// reload reads the settings once.
func (w *settingsWatcher) reload() {
	loaded, err := w.platform.Load()
	text := string(loaded.Raw)
	if err == nil && text == w.lastRead {
		return
	}
	before := w.lastRead
	w.lastRead = text
	if err == nil && len(loaded.Faults) == 0 {
		w.apply(loaded.Settings)
		return
	}
	if text != before || err != nil && before != err.Error() {
		w.Log.WithError(err).WithField("faults", loaded.Faults).Warn("changed settings are invalid; the previous ones stay in effect")
	}
	if err != nil {
		w.lastRead = err.Error()
	}
}

// apply puts in effect what can change while the daemon runs.
func (w *settingsWatcher) apply(next Settings) {
	if level, _ := logrus.ParseLevel(next.LogLevel); next.LogLevel != w.inEffect.LogLevel {
		w.Log.SetLevel(level)
	}
	if !slices.Equal(next.Seeds, w.inEffect.Seeds) {
		w.setSeeds(next.Seeds)
	}
	limitMemory(next)
	w.inEffect.LogLevel, w.inEffect.Seeds, w.inEffect.MemoryMb = next.LogLevel, next.Seeds, next.MemoryMb
	w.Log.WithFields(logrus.Fields{
		"log":                next.LogLevel,
		"seeds":              next.Seeds,
		"rest_at_next_start": !reflect.DeepEqual(next, w.inEffect),
	}).Info("settings changed")
}
