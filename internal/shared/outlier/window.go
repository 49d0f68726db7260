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

// requestWindow is how far back conditions on requests and demand see.
const requestWindow = tuning.RetryWindow

// window is the latest events of one slice of one target, at most tuning.PolicyWindow.
type window struct {
	events  []Event
	streak  int  // how many of the latest events in a row have the same outcome
	success bool // that outcome
}

func (w *window) add(e Event) {
	success := e.Success
	if e.Slice == config.SliceRequest {
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

// totals adds up the requests of the last requestWindow. Only the counts and the time are set.
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

// otherWindows yields the windows that the other targets of a target's service have of a slice. They come in
// order, so that sums of floats are the same in every run.
func (d *Detector) otherWindows(id wire.TargetID, slice config.Slice) iter.Seq[*window] {
	return func(yield func(*window) bool) {
		for _, other := range slices.SortedFunc(maps.Keys(d.windows), wire.TargetID.Compare) {
			if other.Service != id.Service || other == id {
				continue
			}
			if w := d.windows[other][slice]; w != nil && !yield(w) {
				return
			}
		}
	}
}
