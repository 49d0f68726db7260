package simulator

import (
	"fmt"
	"net/http"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Availability measures the effect of one or more simultaneous faults on the service. It complements the rules, which a
// system that rejects every request doesn't violate.
type Availability struct {
	Faults                                 []string
	Requests, Rejected, Unknown, Abandoned int           // numbers of requests: all, and by outcome as in Stats
	LongestGap                             time.Duration // longest time in which some service served no request
	Recovery                               time.Duration // from the beginning of the faults to full capacity
	ChangeLatency                          time.Duration // from sending a configuration change, changeDelay after the faults, to its final reply
	Outcome                                ChangeOutcome
	Failure                                string // the rule that was violated and a description; "" if none
}

// ChangeOutcome is the outcome of the configuration change that is sent during a fault.
type ChangeOutcome string

// Outcomes of the change.
const (
	OutcomeNone     ChangeOutcome = "none"     // the change was not sent
	OutcomeInForce  ChangeOutcome = "in force" // accepted, and all proxies follow it
	OutcomeRejected ChangeOutcome = "rejected" // every attempt was rejected, or its daemon was down or frozen
	OutcomeUnknown  ChangeOutcome = "unknown"  // the daemon replied that it can't tell
	OutcomeNoReply  ChangeOutcome = "no reply" // no reply within replyTimeout
)

const (
	// measurementTime is the duration of the measurement from the beginning of the faults. Most faults end within it.
	measurementTime = 25 * time.Second
	// changeDelay is the time from the beginning of the faults to the sending of a change.
	changeDelay = 500 * time.Millisecond
	// changeRetryTime is how long a rejected change is sent again, every changeRetryInterval, as mfctl does.
	changeRetryTime     = 8 * time.Second
	changeRetryInterval = 200 * time.Millisecond
	// replyTimeout is how long the sender of a change waits for the reply.
	replyTimeout = 6500 * time.Millisecond
)

// UnservedShare returns the fraction of requests that were not served.
func (a *Availability) UnservedShare() float64 {
	return float64(a.Rejected+a.Unknown+a.Abandoned) / float64(max(1, a.Requests))
}

// MeasureAvailability starts a fleet, injects all faults at the same moment, and measures the availability in the
// measurementTime that follows.
func MeasureAvailability(seed uint64, plan Plan, faults ...Fault) Availability {
	plan.Resubmitted = 0 // each request counts once
	result := Availability{Outcome: OutcomeNone}
	for _, f := range faults {
		result.Faults = append(result.Faults, f.Name)
	}
	world := Start(seed, plan)
	world.Run(world.now + 3*time.Second)
	before, begin := world.Stats, world.now
	world.Stats.LongestGap = 0
	for _, f := range faults {
		world.inject(f)
	}
	world.schedule(changeDelay, func() { world.sendChangeUntilAccepted(begin+changeDelay, 0, &result) })
	for world.now < begin+measurementTime && world.Failure == "" {
		world.Run(world.now + 100*time.Millisecond)
		if world.missingTarget() != "" || !world.Serving() {
			result.Recovery = world.now - begin
		}
	}
	result.Requests, result.Rejected = world.Stats.Requests-before.Requests, world.Stats.Rejected-before.Rejected
	result.Unknown, result.Abandoned = world.Stats.Unknown-before.Unknown, world.Stats.Abandoned-before.Abandoned
	result.LongestGap = world.Stats.LongestGap
	for _, at := range world.callers.lastServed {
		result.LongestGap = max(result.LongestGap, world.now-at)
	}
	result.Failure = world.Failure
	return result
}

// sendChangeUntilAccepted sends a change like mfctl: with one token, to each control daemon in turn, as long as it is
// rejected. attempts is the number of earlier attempts, which selects the control daemon.
func (w *World) sendChangeUntilAccepted(from time.Duration, attempts int, result *Availability) {
	daemons, services := w.daemons(wire.ControlDaemon), w.services()
	process := daemons[attempts%len(daemons)]
	rejected := func() {
		result.Outcome = OutcomeRejected
		if w.now-from < changeRetryTime {
			w.schedule(changeRetryInterval, func() { w.sendChangeUntilAccepted(from, attempts+1, result) })
		}
	}
	if !process.alive || process.frozen {
		rejected()
		return
	}
	done := false
	finish := func(outcome ChangeOutcome) { result.ChangeLatency, result.Outcome = w.now-from, outcome }
	patch := fmt.Appendf(nil, `{"services":{"%s":{"timeout_ms":1777}}}`, services[len(services)-1])
	w.call(process, "PATCH", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), patch, "measured", func(r statemachine.Reply) {
		if done {
			return
		}
		done = true
		switch r.Status {
		case http.StatusOK:
			finish(OutcomeInForce)
		case http.StatusGatewayTimeout:
			finish(OutcomeUnknown)
		default:
			rejected()
		}
	})
	w.schedule(replyTimeout, func() {
		if !done {
			done = true
			finish(OutcomeNoReply)
		}
	})
}
