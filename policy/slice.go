// This file is the slices: what a policy's condition may name, and how it follows from the events.

package policy

import (
	"iter"
	"maps"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

// The slices: what a condition may name, and nothing else.
type (
	Probe struct {
		Misses  int     `expr:"misses_in_row"`
		Oks     int     `expr:"ok_in_row"`
		Missed  int     `expr:"missed"`
		Samples int     `expr:"samples"`
		LastMs  float64 `expr:"last_ms"`
		MeanMs  float64 `expr:"mean_ms"`
		Flaps   int     `expr:"flaps"`
	}
	Beat struct {
		State   string  `expr:"state"`
		Silent  float64 `expr:"silent_ms"`
		GapMs   float64 `expr:"gap_ms"`
		MaxGap  float64 `expr:"max_gap_ms"`
		Changes int     `expr:"changes"`
		Samples int     `expr:"samples"`
	}
	Exchange struct {
		Count    int     `expr:"count"`
		Errors   int     `expr:"errors"`
		Ratio    float64 `expr:"error_ratio"`
		SvcCount int     `expr:"service_count"`
		SvcRatio float64 `expr:"service_error_ratio"`
		MeanMs   float64 `expr:"mean_ms"`
		SvcMs    float64 `expr:"service_mean_ms"`
		Slow     int     `expr:"slow"`
		LastErrs int     `expr:"errors_in_row"`
	}
	Demand struct {
		Demand  float64 `expr:"demand"`
		Mean    float64 `expr:"mean"`
		SvcMean float64 `expr:"service_mean"`
		Samples int     `expr:"samples"`
	}
)

var envs = map[string]any{"probe": Probe{}, "beat": Beat{}, "exchange": Exchange{}, "demand": Demand{}}

// exchangeWindow is how far the request and demand slices look back.
const exchangeWindow = limit.RetryWindow

type window struct {
	events []Event
	row    int // length of the present run of equal outcomes
	ok     bool
}

func (j *Judge) env(id wire.ID, e Event, w *window) any {
	switch e.Slice {
	case "probe":
		p := Probe{Samples: len(w.events), LastMs: e.Ms}
		if e.Ok {
			p.Oks = w.row
		} else {
			p.Misses = w.row
		}
		for i, x := range w.events {
			if !x.Ok {
				p.Missed++
			}
			p.MeanMs += x.Ms / float64(len(w.events))
			if i > 0 && w.events[i-1].Ok != x.Ok {
				p.Flaps++
			}
		}
		return p
	case "beat":
		b := Beat{State: e.State}
		if !e.Ok {
			b.Silent = e.Ms
		}
		var last *Event
		for i, x := range w.events {
			if !x.Ok {
				continue // silence, not a beat
			}
			if last != nil {
				gap := float64(x.At-last.At) / 1e6
				b.GapMs, b.MaxGap = gap, max(b.MaxGap, gap)
				if last.State != x.State {
					b.Changes++
				}
			}
			last = &w.events[i]
			b.Samples++
		}
		return b
	case "exchange":
		x := Exchange{}
		if !w.ok {
			x.LastErrs = w.row
		}
		sum := w.total(e.At)
		x.Count, x.Errors, x.Slow = sum.Count, sum.Errors, sum.Slow
		if x.Count > 0 {
			x.Ratio, x.MeanMs = float64(x.Errors)/float64(x.Count), sum.Ms/float64(x.Count)
		}
		rest := Event{}
		for _, ws := range j.others(id) {
			if ws["exchange"] != nil {
				t := ws["exchange"].total(e.At)
				rest.Count += t.Count
				rest.Errors += t.Errors
				rest.Ms += t.Ms
			}
		}
		x.SvcCount = rest.Count
		if rest.Count > 0 {
			x.SvcRatio, x.SvcMs = float64(rest.Errors)/float64(rest.Count), rest.Ms/float64(rest.Count)
		}
		return x
	}
	d := Demand{Demand: e.Demand, Samples: len(w.events)}
	for _, x := range w.events {
		d.Mean += x.Demand / float64(len(w.events))
	}
	n := 0.0
	for _, ws := range j.others(id) {
		if ws["demand"] == nil {
			continue
		}
		if l := ws["demand"].events; e.At-l[len(l)-1].At < exchangeWindow {
			d.SvcMean += l[len(l)-1].Demand
			n++
		}
	}
	if n > 0 {
		d.SvcMean /= n
	}
	return d
}

// others yields the windows of a service's other targets, in order so that sums
// of floats come out the same in every run.
func (j *Judge) others(id wire.ID) iter.Seq2[wire.ID, map[string]*window] {
	return func(yield func(wire.ID, map[string]*window) bool) {
		for _, o := range slices.SortedFunc(maps.Keys(j.windows), wire.ID.Compare) {
			if o.Service == id.Service && o != id && !yield(o, j.windows[o]) {
				return
			}
		}
	}
}

func (w *window) total(at time.Duration) (t Event) {
	for _, x := range w.events {
		if at-x.At <= exchangeWindow {
			t.Count += x.Count
			t.Errors += x.Errors
			t.Slow += x.Slow
			t.Ms += x.Ms
		}
	}
	return t
}
