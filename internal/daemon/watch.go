// This file watches a daemon's settings for changes while it runs.

package daemon

import (
	"reflect"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"myrtlefold/internal/shared/tuning"
)

// watch is the settings as they were last read and as they are in effect.
type watch struct {
	*Process
	seeds   func([]string)
	seen    string // the text last read, or the error in its place
	current Settings
}

// WatchSettings reads the settings each tuning.SettingsEvery and at once on SIGHUP. Sound changes of log
// level, seeds and memory take effect; others wait for the next start; unsound ones are logged once
// and the old ones kept.
func (h *Process) WatchSettings(seeds func([]string)) {
	tick := time.NewTicker(tuning.SettingsEvery)
	w := &watch{Process: h, seeds: seeds, seen: string(h.rawSettings), current: h.Settings}
	go func() {
		for {
			select {
			case <-h.hup:
			case <-tick.C:
			}
			w.look()
		}
	}()
}

// look reads the settings once.
func (w *watch) look() {
	next, raw, faults, err := w.load()
	if err == nil && string(raw) == w.seen {
		return
	}
	before := w.seen
	w.seen = string(raw)
	if err == nil && len(faults) == 0 {
		w.apply(next)
		return
	}
	if string(raw) != before || err != nil && before != err.Error() {
		w.Log.WithError(err).WithField("faults", faults).Warn("changed settings are unsound; the old ones stay")
	}
	if err != nil {
		w.seen = err.Error()
	}
}

// apply puts in effect what can change while the daemon runs.
func (w *watch) apply(next Settings) {
	if level, _ := logrus.ParseLevel(next.LogLevel); next.LogLevel != w.current.LogLevel {
		w.Log.SetLevel(level)
	}
	if !slices.Equal(next.Seeds, w.current.Seeds) {
		w.seeds(next.Seeds)
	}
	w.bound(next)
	w.current.LogLevel, w.current.Seeds, w.current.MemoryMb = next.LogLevel, next.Seeds, next.MemoryMb
	w.Log.WithFields(logrus.Fields{"log": next.LogLevel, "seeds": next.Seeds, "rest_at_next_start": !reflect.DeepEqual(next, w.current)}).Info("settings changed")
}
