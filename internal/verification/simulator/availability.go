package simulator

import (
	"fmt"
	"net/http"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Availability is what a kind of fault, or two at once, left of the service: a system that rejects everything
// breaks no rule.
type Availability struct {
	Faults                                []string
	Requests, Rejected, Failed, Abandoned int
	LongestGap                            time.Duration // longest time without a response of some service
	Recovery                              time.Duration // from the fault's beginning to full capacity
	ChangeLatency                         time.Duration // from the sending of a change, 0.5 s after the fault, until it is in force
	Outcome                               ChangeOutcome
	Failure                               string // the rule that was broken, and how
}

// ChangeOutcome is what became of the change that is sent during a fault.
type ChangeOutcome string

// The outcomes.
const (
	OutcomeNone     ChangeOutcome = "none" // it was not sent
	OutcomeInForce  ChangeOutcome = "in force"
	OutcomeRejected ChangeOutcome = "refused"
	OutcomeUnknown  ChangeOutcome = "unknown"
	OutcomeNoReply  ChangeOutcome = "no answer"
)

const (
	// measuredTime is for how long after faults begin the service is looked at; most end by themselves in it.
	measuredTime = 25 * time.Second
	// changeDelay is how long after the faults begin a change is sent.
	changeDelay = 500 * time.Millisecond
	// insistTime is for how long, and insistInterval how often, a change is sent again if it is rejected; so does mfctl.
	insistTime     = 8 * time.Second
	insistInterval = 200 * time.Millisecond
	// replyTimeout is how long a change waits for its reply.
	replyTimeout = 6500 * time.Millisecond
)

// UnservedShare is the part of requests that were not served.
func (a *Availability) UnservedShare() float64 {
	return float64(a.Rejected+a.Failed+a.Abandoned) / float64(max(1, a.Requests))
}

// MeasureAvailability injects faults once, all at the same moment, and looks at the time
// that follows.
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
	world.schedule(changeDelay, func() { world.insistOnChange(begin+changeDelay, 0, &result) })
	for world.now < begin+measuredTime && world.Failure == "" {
		world.Run(world.now + 100*time.Millisecond)
		if world.missingTarget() != "" || !world.Serving() {
			result.Recovery = world.now - begin
		}
	}
	result.Requests, result.Rejected = world.Stats.Requests-before.Requests, world.Stats.Rejected-before.Rejected
	result.Failed, result.Abandoned = world.Stats.Unknown-before.Unknown, world.Stats.Abandoned-before.Abandoned
	result.LongestGap = world.Stats.LongestGap
	for _, at := range world.callers.lastServed {
		result.LongestGap = max(result.LongestGap, world.now-at)
	}
	result.Failure = world.Failure
	return result
}

// insistOnChange sends a change as mfctl does: under one token, to one control daemon after another, as long as
// it is rejected. The number of attempts before says whose turn it is.
func (w *World) insistOnChange(from time.Duration, attempts int, result *Availability) {
	daemons, services := w.daemons(wire.ControlDaemon), w.services()
	process := daemons[attempts%len(daemons)]
	rejected := func() {
		result.Outcome = OutcomeRejected
		if w.now-from < insistTime {
			w.schedule(insistInterval, func() { w.insistOnChange(from, attempts+1, result) })
		}
	}
	if !process.alive || process.frozen {
		rejected()
		return
	}
	done := false
	finish := func(outcome ChangeOutcome) { result.ChangeLatency, result.Outcome = w.now-from, outcome }
	patch := fmt.Appendf(nil, `{"services":{"%s":{"timeout_ms":1777}}}`, services[len(services)-1])
	w.call(process, "PATCH", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), patch, "insisted", func(r statemachine.Reply) {
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
