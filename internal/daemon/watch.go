// Reloading of the settings while a daemon runs.

package daemon

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"myrtlefold/internal/shared/tuning"
)

// settingsWatcher reloads the settings and applies changes. It is owned by the goroutine of run.
type settingsWatcher struct {
	*Process
	setSeeds func([]string)
	lastRead string   // text of the settings when last read, or the text of the error if reading failed
	inEffect Settings // settings in effect; those that can't change at run time keep their values from the start
}

// WatchSettings reloads the settings every tuning.SettingsEvery and on SIGHUP, until the context ends. Changes of the
// log level, the seeds and the memory limit take effect at once, others at the next start. Invalid settings are logged
// once, and the previous ones stay in effect.
func (p *Process) WatchSettings(ctx context.Context, setSeeds func([]string)) {
	w := &settingsWatcher{Process: p, setSeeds: setSeeds, lastRead: string(p.rawSettings), inEffect: p.Settings}
	go w.run(ctx)
}

func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(tuning.SettingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.reloadSignals:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		w.reload()
	}
}

// reload reads the settings and applies them if they have changed and are valid.
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

// apply applies the settings that can change while the daemon runs.
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
