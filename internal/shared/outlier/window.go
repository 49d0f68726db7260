package outlier

import (
	"iter"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// requestWindow is the age up to which requests, and the demand of a service's other targets, count in conditions.
const requestWindow = tuning.RetryWindow

// window holds the latest events of one signal of one target.
type window struct {
	events  []Event // at most tuning.PolicyWindow, the oldest first
	streak  int     // number of consecutive events up to the latest whose outcome equals the field success
	success bool    // outcome of the latest event: Event.Success or, for requests, whether none failed
}

func (w *window) add(e Event) {
	success := e.Success
	if e.Signal == config.SignalRequest {
		success = e.Errors == 0
	}
	if w.success != success {
		w.streak = 0
	}
	w.success = success
	w.streak++
	w.events = append(w.events, e)
	if n := len(w.events) - tuning.PolicyWindow; n > 0 {
		w.events = w.events[n:]
	}
}

// totals returns the sums over the events of the last requestWindow: Count, Errors, Slow and Milliseconds. The
// other fields are not set.
func (w *window) totals(now time.Duration) (total Event) {
	for _, e := range w.events {
		if now-e.At <= requestWindow {
			total.Count += e.Count
			total.Errors += e.Errors
			total.Slow += e.Slow
			total.Milliseconds += e.Milliseconds
		}
	}
	return total
}

// otherWindows yields the windows of a signal for all other targets of the same service. They are sorted by
// target, since sums of floats depend on their order and must be the same in every run.
func (d *Detector) otherWindows(id wire.TargetID, signal config.Signal) iter.Seq[*window] {
	return func(yield func(*window) bool) {
		for _, other := range slices.SortedFunc(maps.Keys(d.windows), wire.TargetID.Compare) {
			if other.Service != id.Service || other == id {
				continue
			}
			if w := d.windows[other][signal]; w != nil && !yield(w) {
				return
			}
		}
	}
}
