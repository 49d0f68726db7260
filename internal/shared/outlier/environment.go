package outlier

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// An environment struct holds the variables that a condition on one signal may use. The expr tags are the
// variables' names, which docs/policy.md explains. "Samples" in the comments are the events in the target's window for the signal.

// probeEnvironment holds the variables of conditions on health checks.
type probeEnvironment struct {
	MissesInRow int     `expr:"misses_in_row"` // consecutive missed checks up to the latest, 0 if that was answered
	OKInRow     int     `expr:"ok_in_row"`     // consecutive answered checks up to the latest, 0 if that was missed
	Missed      int     `expr:"missed"`        // missed checks among the samples
	Samples     int     `expr:"samples"`       // number of samples
	LastMs      float64 `expr:"last_ms"`       // response time of the latest check, in ms
	MeanMs      float64 `expr:"mean_ms"`       // mean response time of the samples, in ms
	Flaps       int     `expr:"flaps"`         // changes between answered and missed among the samples
}

// heartbeatEnvironment holds the variables of conditions on heartbeats.
type heartbeatEnvironment struct {
	State    string  `expr:"state"`      // target state in the latest event
	SilentMs float64 `expr:"silent_ms"`  // time since the last heartbeat if one is missing, in ms, else 0
	GapMs    float64 `expr:"gap_ms"`     // time between the last two heartbeats, in ms, 0 if there are fewer
	MaxGapMs float64 `expr:"max_gap_ms"` // longest time between heartbeats among the samples, in ms
	Changes  int     `expr:"changes"`    // changes of state among the samples
	Samples  int     `expr:"samples"`    // number of heartbeats among the samples
}

// requestEnvironment holds the variables of conditions on requests: the target's requests in the last
// requestWindow and, with the prefix Service, those of the service's other targets.
type requestEnvironment struct {
	Count             int     `expr:"count"`
	Errors            int     `expr:"errors"`
	ErrorRatio        float64 `expr:"error_ratio"` // Errors / Count, 0 without requests
	ServiceCount      int     `expr:"service_count"`
	ServiceErrorRatio float64 `expr:"service_error_ratio"`
	MeanMs            float64 `expr:"mean_ms"`         // mean response time, in ms, 0 without requests
	ServiceMeanMs     float64 `expr:"service_mean_ms"` // mean response time of the service's other targets, in ms
	Slow              int     `expr:"slow"`            // slow requests: see config.Service.SlowMs
	ErrorsInRow       int     `expr:"errors_in_row"`   // consecutive events with errors up to the latest
}

// demandEnvironment holds the variables of conditions on demand.
type demandEnvironment struct {
	Demand      float64 `expr:"demand"`       // latest reported demand of the target
	Mean        float64 `expr:"mean"`         // mean demand of the samples
	ServiceMean float64 `expr:"service_mean"` // mean of the latest demands of the service's other targets, 0 if unknown
	Samples     int     `expr:"samples"`      // number of samples
}

// environments maps each signal to a zero value of the struct that holds the variables of conditions on it.
var environments = map[config.Signal]any{
	config.SignalProbe:     probeEnvironment{},
	config.SignalHeartbeat: heartbeatEnvironment{},
	config.SignalRequest:   requestEnvironment{},
	config.SignalDemand:    demandEnvironment{},
}

// unknownSignal is the format of the fault for an unknown signal.
const unknownSignal = "no slice %q: probe, beat, exchange or demand"

// environment returns the environment for the event's signal. The event must be the latest one in w.
func (d *Detector) environment(id wire.TargetID, event Event, w *window) any {
	switch event.Signal {
	case config.SignalProbe:
		return w.probeEnvironment(event)
	case config.SignalHeartbeat:
		return w.heartbeatEnvironment(event)
	case config.SignalRequest:
		return d.requestEnvironment(id, event.At, w)
	}
	return d.demandEnvironment(id, event, w)
}

func (w *window) probeEnvironment(latest Event) probeEnvironment {
	env := probeEnvironment{Samples: len(w.events), LastMs: latest.Milliseconds}
	if latest.Success {
		env.OKInRow = w.streak
	} else {
		env.MissesInRow = w.streak
	}
	for i, e := range w.events {
		if !e.Success {
			env.Missed++
		}
		env.MeanMs += e.Milliseconds / float64(len(w.events))
		if i > 0 && w.events[i-1].Success != e.Success {
			env.Flaps++
		}
	}
	return env
}

func (w *window) heartbeatEnvironment(latest Event) heartbeatEnvironment {
	env := heartbeatEnvironment{State: string(latest.State)}
	if !latest.Success {
		env.SilentMs = latest.Milliseconds
	}
	var previous *Event
	for i, e := range w.events {
		if !e.Success {
			continue // the event reports a missing heartbeat
		}
		if previous != nil {
			env.GapMs = milliseconds(e.At - previous.At)
			env.MaxGapMs = max(env.MaxGapMs, env.GapMs)
			if previous.State != e.State {
				env.Changes++
			}
		}
		previous = &w.events[i]
		env.Samples++
	}
	return env
}

func (d *Detector) requestEnvironment(id wire.TargetID, now time.Duration, w *window) requestEnvironment {
	env := requestEnvironment{}
	if !w.success {
		env.ErrorsInRow = w.streak
	}
	own := w.totals(now)
	env.Count, env.Errors, env.Slow = own.Count, own.Errors, own.Slow
	if own.Count > 0 {
		env.ErrorRatio = float64(own.Errors) / float64(own.Count)
		env.MeanMs = own.Milliseconds / float64(own.Count)
	}
	service := Event{}
	for other := range d.otherWindows(id, config.SignalRequest) {
		total := other.totals(now)
		service.Count += total.Count
		service.Errors += total.Errors
		service.Milliseconds += total.Milliseconds
	}
	env.ServiceCount = service.Count
	if service.Count > 0 {
		env.ServiceErrorRatio = float64(service.Errors) / float64(service.Count)
		env.ServiceMeanMs = service.Milliseconds / float64(service.Count)
	}
	return env
}

func (d *Detector) demandEnvironment(id wire.TargetID, latest Event, w *window) demandEnvironment {
	env := demandEnvironment{Demand: latest.Demand, Samples: len(w.events)}
	for _, e := range w.events {
		env.Mean += e.Demand / float64(len(w.events))
	}
	others := 0.0
	for other := range d.otherWindows(id, config.SignalDemand) {
		if e := other.events[len(other.events)-1]; latest.At-e.At < requestWindow {
			env.ServiceMean += e.Demand
			others++
		}
	}
	if others > 0 {
		env.ServiceMean /= others
	}
	return env
}
