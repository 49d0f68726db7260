// This file holds what a soak's callers saw against the rules.

package main

import (
	"net/http"
	"time"
)

const (
	// A request may be cut with its process if it was sent in the first soakExcusedParts-th of the grace, and its target is
	// still at work in the last soakLastParts-th.
	soakExcusedParts = 2
	soakLastParts    = 6
	// soakReadDelayMax is how long after its last byte a request counts as read by a process that closes its connection.
	soakReadDelayMax = 2 * time.Second
)

// countRuns is how often each request ran, by its id.
func (s *soak) countRuns() map[string]int {
	ran := map[string]int{}
	for _, entry := range s.requestLog() {
		ran[entry.ID]++
		if entry.IntendedService != "" {
			s.violation("wrong service", "%s was meant for %s", entry.ID, entry.IntendedService)
		}
	}
	return ran
}

// classify names what became of a request, and notes it if that breaks a rule.
func (s *soak) classify(outcome *soakOutcome, ran map[string]int) string {
	switch {
	case outcome.wrong != "":
		s.violation("another's answer", "%s: %s", outcome.id, outcome.wrong)
		return "wrong"
	case outcome.status >= 500 && outcome.notRun:
		return "refused"
	case outcome.unknownRun:
		return s.classifyUnknown(outcome)
	case outcome.status >= 500:
		return "failed"
	case outcome.status >= 400:
		s.violation("refused for good", "%s got %d", outcome.id, outcome.status)
		return "denied"
	case outcome.status > 0:
		return "served"
	case outcome.notWritten:
		return "not sent"
	}
	return s.classifyTruncated(outcome, ran[outcome.id] > 0)
}

// classifyUnknown names what became of a request that its proxy answered without knowing whether it ran. A 502 tells that
// its target broke off; a 504 before the time of its caller and its route is over is the proxy's own, and a
// stop is no reason for one.
func (s *soak) classifyUnknown(o *soakOutcome) string {
	waited := o.finishedAt.Sub(o.sentAt)
	stop := latest(s.log.all(), eventStop, o.proxy, o.finishedAt)
	if stop == nil || o.status != http.StatusGatewayTimeout || waited >= min(soakDeadline, o.kind.timeout) || o.finishedAt.Sub(stop.at) > s.options.grace || s.outOfGrace(o, stop) {
		return "unknown"
	}
	s.violation("broken off", "%s at %s was sent %v after SIGTERM and given up %v after it", o.id, o.proxy, o.sentAt.Sub(stop.at), o.finishedAt.Sub(stop.at))
	return "broken off"
}

// outOfGrace says whether a request was sent so soon after SIGTERM, and ended so late, that its target may take too long.
func (s *soak) outOfGrace(o *soakOutcome, stop *soakEvent) bool {
	grace := s.options.grace
	return o.sentAt.Sub(stop.at) <= grace/soakExcusedParts && o.finishedAt.Sub(stop.at) >= grace-grace/soakLastParts
}

// classifyTruncated names what became of a request whose connection ended without an answer.
func (s *soak) classifyTruncated(outcome *soakOutcome, hasRun bool) string {
	entries := s.log.all()
	grace := s.options.grace
	waited := outcome.finishedAt.Sub(outcome.sentAt)
	if kill := latest(entries, eventKill, outcome.proxy, outcome.finishedAt.Add(time.Second)); kill != nil && kill.at.After(outcome.sentAt.Add(-time.Second)) {
		return "killed"
	}
	if !hasRun && outcome.pipelined {
		return "crossed" // the answer before it closed the connection: it was not passed on
	}
	if waited >= soakDeadline {
		s.violation("deadline", "%s at %s ended %v after it was sent, without an answer", outcome.id, outcome.proxy, waited)
		return "late"
	}
	if !hasRun && waited < soakReadDelayMax {
		return "crossed"
	}
	stop := latest(entries, eventStop, outcome.proxy, outcome.finishedAt)
	if stop == nil || outcome.finishedAt.Sub(stop.at) > grace+time.Second {
		s.violation("lost", "%s at %s was cut %v after it was sent, with no stop; ran: %v", outcome.id, outcome.proxy, waited, hasRun)
		return "lost"
	}
	after, end := outcome.sentAt.Sub(stop.at), outcome.finishedAt.Sub(stop.at)
	if s.outOfGrace(outcome, stop) {
		return "out of time"
	}
	s.violation("lost", "%s at %s was sent %v after SIGTERM and cut %v after it; ran: %v", outcome.id, outcome.proxy, after, end, hasRun)
	return "lost"
}

// checkLedgers looks for requests that ran twice, or although it was promised that they don't.
func (s *soak) checkLedgers(outcomes []soakOutcome, ran map[string]int) {
	for i := range outcomes {
		o := &outcomes[i]
		n := ran[o.id]
		if o.kind.once && n > 1 {
			s.violation("runs twice", "%s ran %d times", o.id, n)
		}
		if o.kind.once && o.notRun && n > 0 {
			s.violation("refused but ran", "%s got %d", o.id, o.status)
		}
	}
}
