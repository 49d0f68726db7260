// This file checks the outcomes of a soak's requests against the rules.

package main

import (
	"net/http"
	"time"
)

const (
	// A request may lose its response when its proxy is killed at the end of the grace period, provided that it was sent in the
	// first 1/excusedSendDivisor of that period and its target still works on it in the last 1/excusedEndDivisor.
	excusedSendDivisor = 2
	excusedEndDivisor  = 6
	// closeRaceWindow is the time after a request's last byte within which its proxy may close the connection without having read
	// the request. Such a request must not have run.
	closeRaceWindow = 2 * time.Second
)

// outcomeClass is the class that a request is counted in.
type outcomeClass string

// Classes of outcomes, by the names that are printed.
const (
	classMismatched       outcomeClass = "mismatched response"   // the response belongs to another request
	classRejected         outcomeClass = "rejected"              // it was rejected without having run
	classUnknown          outcomeClass = "unknown"               // the proxy responded that it may have run
	classEarlyTimeout     outcomeClass = "early timeout"         // the proxy timed it out early during a graceful stop
	classServerError      outcomeClass = "other 5xx"             // a 5xx response of none of the classes above
	classClientError      outcomeClass = "4xx"                   // a 4xx response
	classServed           outcomeClass = "served"                // a response below 400
	classNotSent          outcomeClass = "not sent"              // the caller could not write it completely
	classProxyKilled      outcomeClass = "proxy killed"          // its proxy was killed while the request was open
	classClosedBeforeRead outcomeClass = "closed before read"    // its proxy closed the connection without having read the request
	classDeadlineExceeded outcomeClass = "deadline exceeded"     // no response within the deadline
	classLost             outcomeClass = "lost"                  // no response, for none of the allowed reasons
	classGraceExceeded    outcomeClass = "grace period exceeded" // no response, as its target may have needed longer than the proxy's grace period
)

// countRuns returns how often each request ran, by its ID, and checks that each ran at its service.
func (s *soak) countRuns() map[string]int {
	ran := map[string]int{}
	for _, entry := range s.requestLog() {
		ran[entry.ID]++
		if entry.IntendedService != "" {
			s.recordViolation(ruleRightService, "%s ran at another service than %s, for which it was sent", entry.ID, entry.IntendedService)
		}
	}
	return ran
}

// classify returns the class of an outcome, and records a violation if it breaks a rule.
func (s *soak) classify(outcome *requestOutcome, ran map[string]int) outcomeClass {
	switch {
	case outcome.mismatch != "":
		s.recordViolation(ruleOwnResponse, "%s: %s", outcome.id, outcome.mismatch)
		return classMismatched
	case outcome.status >= 500 && outcome.notRun:
		return classRejected
	case outcome.mayHaveRun:
		return s.classifyUnknown(outcome)
	case outcome.status >= 500:
		return classServerError
	case outcome.status >= 400:
		s.recordViolation(ruleNoPermanentRejection, "%s got status %d", outcome.id, outcome.status)
		return classClientError
	case outcome.status > 0:
		return classServed
	case outcome.notWritten:
		return classNotSent
	}
	return s.classifyTruncated(outcome, ran[outcome.id] > 0)
}

// classifyUnknown returns the class of a request whose proxy responded that it may have run. A 502 is allowed, since it
// means that the target closed the connection. A 504 before the caller's deadline and the route's timeout is a violation if the
// proxy was in a graceful stop: the stop must not make it time a request out early.
func (s *soak) classifyUnknown(o *requestOutcome) outcomeClass {
	waited := o.finishedAt.Sub(o.sentAt)
	stop := latestEvent(s.log.snapshot(), eventStop, o.proxy, o.finishedAt)
	if stop == nil || o.status != http.StatusGatewayTimeout || waited >= min(requestDeadline, o.kind.timeout) || o.finishedAt.Sub(stop.at) > s.options.grace || s.mayOutlastGrace(o, stop) {
		return classUnknown
	}
	s.recordViolation(ruleNoEarlyTimeout, "%s at %s was sent %v after SIGTERM and timed out early, %v after SIGTERM", o.id, o.proxy, o.sentAt.Sub(stop.at), o.finishedAt.Sub(stop.at))
	return classEarlyTimeout
}

// mayOutlastGrace reports whether a request was sent so soon after SIGTERM, and ended so late, that its target may need longer
// than the grace period.
func (s *soak) mayOutlastGrace(o *requestOutcome, stop *soakEvent) bool {
	grace := s.options.grace
	return o.sentAt.Sub(stop.at) <= grace/excusedSendDivisor && o.finishedAt.Sub(stop.at) >= grace-grace/excusedEndDivisor
}

// classifyTruncated returns the class of a request whose connection was closed without a complete response.
func (s *soak) classifyTruncated(outcome *requestOutcome, hasRun bool) outcomeClass {
	entries := s.log.snapshot()
	grace := s.options.grace
	waited := outcome.finishedAt.Sub(outcome.sentAt)
	if kill := latestEvent(entries, eventKill, outcome.proxy, outcome.finishedAt.Add(time.Second)); kill != nil && kill.at.After(outcome.sentAt.Add(-time.Second)) {
		return classProxyKilled
	}
	if !hasRun && outcome.pipelined {
		return classClosedBeforeRead // the proxy closed the connection after an earlier response and did not forward this request
	}
	if waited >= requestDeadline {
		s.recordViolation(ruleDeadline, "%s at %s lost its connection %v after it was sent, without a response", outcome.id, outcome.proxy, waited)
		return classDeadlineExceeded
	}
	if !hasRun && waited < closeRaceWindow {
		return classClosedBeforeRead
	}
	stop := latestEvent(entries, eventStop, outcome.proxy, outcome.finishedAt)
	if stop == nil || outcome.finishedAt.Sub(stop.at) > grace+time.Second {
		s.recordViolation(ruleLostRequest, "%s at %s lost its connection %v after it was sent, with no stop of its proxy shortly before; ran: %v", outcome.id, outcome.proxy, waited, hasRun)
		return classLost
	}
	after, end := outcome.sentAt.Sub(stop.at), outcome.finishedAt.Sub(stop.at)
	if s.mayOutlastGrace(outcome, stop) {
		return classGraceExceeded
	}
	s.recordViolation(ruleLostRequest, "%s at %s was sent %v after SIGTERM and lost its connection %v after SIGTERM; ran: %v", outcome.id, outcome.proxy, after, end, hasRun)
	return classLost
}

// checkRequestLogs checks that no non-idempotent request ran more than once, or ran although its response said that it had not.
func (s *soak) checkRequestLogs(outcomes []requestOutcome, ran map[string]int) {
	for i := range outcomes {
		o := &outcomes[i]
		n := ran[o.id]
		if o.kind.once && n > 1 {
			s.recordViolation(ruleAtMostOnce, "%s ran %d times", o.id, n)
		}
		if o.kind.once && o.notRun && n > 0 {
			s.recordViolation(ruleRejectedRequest, "%s got a response with status %d that it did not run", o.id, o.status)
		}
	}
}
