// This file is the slices: what a policy's condition may name, and how it follows from the events.

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

// probeFacts is what a condition on probes may name.
type probeFacts struct {
	Misses  int     `expr:"misses_in_row"`
	Oks     int     `expr:"ok_in_row"`
	Missed  int     `expr:"missed"` // among the samples
	Samples int     `expr:"samples"`
	LastMs  float64 `expr:"last_ms"`
	MeanMs  float64 `expr:"mean_ms"`
	Flaps   int     `expr:"flaps"` // changes between answer and miss among the samples
}

// beatFacts is what a condition on heartbeats may name.
type beatFacts struct {
	State    string  `expr:"state"`
	SilentMs float64 `expr:"silent_ms"`
	GapMs    float64 `expr:"gap_ms"` // between the last two heartbeats
	MaxGapMs float64 `expr:"max_gap_ms"`
	Changes  int     `expr:"changes"` // of state, among the samples
	Samples  int     `expr:"samples"`
}

// exchangeFacts is what a condition on requests may name: the target's own in the last
// exchangeWindow, and, with service_ before the name, those of the service's other targets.
type exchangeFacts struct {
	Count         int     `expr:"count"`
	Errors        int     `expr:"errors"`
	ErrorRatio    float64 `expr:"error_ratio"`
	ServiceCount  int     `expr:"service_count"`
	ServiceRatio  float64 `expr:"service_error_ratio"`
	MeanMs        float64 `expr:"mean_ms"`
	ServiceMeanMs float64 `expr:"service_mean_ms"`
	Slow          int     `expr:"slow"`
	ErrorsInRow   int     `expr:"errors_in_row"` // events with an error, one after another
}

// demandFacts is what a condition on demand may name.
type demandFacts struct {
	Demand      float64 `expr:"demand"`
	Mean        float64 `expr:"mean"`
	ServiceMean float64 `expr:"service_mean"` // of the service's other targets' latest ones
	Samples     int     `expr:"samples"`
}

// facts has, for each slice, the type that conditions on it are compiled for.
var facts = map[config.Slice]any{
	config.SliceProbe:     probeFacts{},
	config.SliceHeartbeat: beatFacts{},
	config.SliceRequest:   exchangeFacts{},
	config.SliceDemand:    demandFacts{},
}

// unknownSlice is the text of a fault.
const unknownSlice = "no slice %q: probe, beat, exchange or demand"

// exchangeWindow is how far the request and demand slices look back.
const exchangeWindow = tuning.RetryWindow

// window is the latest events of one slice of one target, tuning.Window at most.
type window struct {
	events []Event
	run    int // length of the present run of equal outcomes
	ok     bool
}

// add takes an event in.
func (w *window) add(e Event) {
	good := e.Success
	if e.Slice == config.SliceRequest {
		good = e.Errors == 0
	}
	if w.ok != good {
		w.run = 0
	}
	w.ok = good
	w.run++
	w.events = append(w.events, e)
	if n := len(w.events) - tuning.PolicyWindow; n > 0 {
		w.events = w.events[n:]
	}
}

// facts returns what a condition on the event's slice may name, right after the event.
func (j *Detector) facts(id wire.TargetID, e Event, w *window) any {
	switch e.Slice {
	case config.SliceProbe:
		return w.probeFacts(e)
	case config.SliceHeartbeat:
		return w.beatFacts(e)
	case config.SliceRequest:
		return j.exchangeFacts(id, e.At, w)
	}
	return j.demandFacts(id, e, w)
}

func (w *window) probeFacts(e Event) probeFacts {
	p := probeFacts{Samples: len(w.events), LastMs: e.Milliseconds}
	if e.Success {
		p.Oks = w.run
	} else {
		p.Misses = w.run
	}
	for i, x := range w.events {
		if !x.Success {
			p.Missed++
		}
		p.MeanMs += x.Milliseconds / float64(len(w.events))
		if i > 0 && w.events[i-1].Success != x.Success {
			p.Flaps++
		}
	}
	return p
}

func (w *window) beatFacts(e Event) beatFacts {
	b := beatFacts{State: string(e.State)}
	if !e.Success {
		b.SilentMs = e.Milliseconds
	}
	var last *Event
	for i, x := range w.events {
		if !x.Success {
			continue // silence, not a heartbeat
		}
		if last != nil {
			b.GapMs = milliseconds(x.At - last.At)
			b.MaxGapMs = max(b.MaxGapMs, b.GapMs)
			if last.State != x.State {
				b.Changes++
			}
		}
		last = &w.events[i]
		b.Samples++
	}
	return b
}

func (j *Detector) exchangeFacts(id wire.TargetID, now time.Duration, w *window) exchangeFacts {
	x := exchangeFacts{}
	if !w.ok {
		x.ErrorsInRow = w.run
	}
	own := w.total(now)
	x.Count, x.Errors, x.Slow = own.Count, own.Errors, own.Slow
	if own.Count > 0 {
		x.ErrorRatio, x.MeanMs = float64(own.Errors)/float64(own.Count), own.Milliseconds/float64(own.Count)
	}
	rest := Event{}
	for _, other := range j.others(id, config.SliceRequest) {
		t := other.total(now)
		rest.Count += t.Count
		rest.Errors += t.Errors
		rest.Milliseconds += t.Milliseconds
	}
	x.ServiceCount = rest.Count
	if rest.Count > 0 {
		x.ServiceRatio, x.ServiceMeanMs = float64(rest.Errors)/float64(rest.Count), rest.Milliseconds/float64(rest.Count)
	}
	return x
}

func (j *Detector) demandFacts(id wire.TargetID, e Event, w *window) demandFacts {
	d := demandFacts{Demand: e.Demand, Samples: len(w.events)}
	for _, x := range w.events {
		d.Mean += x.Demand / float64(len(w.events))
	}
	n := 0.0
	for _, other := range j.others(id, config.SliceDemand) {
		if latest := other.events[len(other.events)-1]; e.At-latest.At < exchangeWindow {
			d.ServiceMean += latest.Demand
			n++
		}
	}
	if n > 0 {
		d.ServiceMean /= n
	}
	return d
}

// others yields the windows that a service's other targets have of a slice, in order so that sums
// of floats come out the same in every run.
func (j *Detector) others(id wire.TargetID, slice config.Slice) iter.Seq2[wire.TargetID, *window] {
	return func(yield func(wire.TargetID, *window) bool) {
		for _, o := range slices.SortedFunc(maps.Keys(j.windows), wire.TargetID.Compare) {
			if o.Service != id.Service || o == id {
				continue
			}
			if w := j.windows[o][slice]; w != nil && !yield(o, w) {
				return
			}
		}
	}
}

// total adds up the requests of the last exchangeWindow; only its counts and times are set.
func (w *window) total(now time.Duration) (t Event) {
	for _, x := range w.events {
		if now-x.At <= exchangeWindow {
			t.Count += x.Count
			t.Errors += x.Errors
			t.Slow += x.Slow
			t.Milliseconds += x.Milliseconds
		}
	}
	return t
}

// milliseconds is d as a number that conditions and scores use.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
