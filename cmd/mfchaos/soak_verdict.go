// This file holds what a soak's callers saw against the rules.

package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// A request may be cut with its process if it was sent in the first soakExcusedParts-th of the grace, and its target is
	// still at work in the last soakLastParts-th.
	soakExcusedParts = 2
	soakLastParts    = 6
	// soakReadLate is how long after its last byte a request counts as read by a process that closes its connection.
	soakReadLate = 2 * time.Second
)

// readLedgers is how often each request ran.
func (s *soak) readLedgers() map[string]int {
	ran := map[string]int{}
	files, _ := filepath.Glob(s.path("ledger", "*.ledger"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			s.note("lab", "%v", err)
		}
		for line := range bytes.Lines(b) {
			var e struct {
				ID    string `json:"id"`
				Wrong string `json:"meant_for"`
			}
			if json.Unmarshal(line, &e) != nil {
				continue // a killed back end's last line
			}
			ran[e.ID]++
			if e.Wrong != "" {
				s.note("wrong service", "%s was meant for %s", e.ID, e.Wrong)
			}
		}
	}
	return ran
}

// judge names what became of a request, and notes it if that breaks a rule.
func (s *soak) judge(o *soakOutcome, ran map[string]int) string {
	switch {
	case o.wrong != "":
		s.note("another's answer", "%s: %s", o.id, o.wrong)
		return "wrong"
	case o.status >= 500 && o.promise:
		return "refused"
	case o.unknown:
		return s.judgeBrokenOff(o)
	case o.status >= 500:
		return "failed"
	case o.status >= 400:
		s.note("refused for good", "%s got %d", o.id, o.status)
		return "denied"
	case o.status > 0:
		return "served"
	case o.unsent:
		return "not sent"
	}
	return s.judgeCut(o, ran[o.id] > 0)
}

// judgeBrokenOff names what became of a request that its proxy answered without knowing whether it ran. A 502 tells that
// its target broke off; a 504 before the time of its caller and its route is over is the proxy's own, and a
// stop is no reason for one.
func (s *soak) judgeBrokenOff(o *soakOutcome) string {
	waited := o.ended.Sub(o.sent)
	stop := latest(s.log.all(), eventStop, o.proxy, o.ended)
	if stop == nil || o.status != http.StatusGatewayTimeout || waited >= min(soakDeadline, o.kind.timeout) || o.ended.Sub(stop.at) > s.options.grace || s.excused(o, stop) {
		return "unknown"
	}
	s.note("broken off", "%s at %s was sent %v after SIGTERM and given up %v after it", o.id, o.proxy, o.sent.Sub(stop.at), o.ended.Sub(stop.at))
	return "broken off"
}

// excused says whether a request was sent so soon after SIGTERM, and ended so late, that its target may take too long.
func (s *soak) excused(o *soakOutcome, stop *soakEvent) bool {
	grace := s.options.grace
	return o.sent.Sub(stop.at) <= grace/soakExcusedParts && o.ended.Sub(stop.at) >= grace-grace/soakLastParts
}

// judgeCut names what became of a request whose connection ended without an answer.
func (s *soak) judgeCut(o *soakOutcome, hasRun bool) string {
	entries := s.log.all()
	grace := s.options.grace
	waited := o.ended.Sub(o.sent)
	if kill := latest(entries, eventKill, o.proxy, o.ended.Add(time.Second)); kill != nil && kill.at.After(o.sent.Add(-time.Second)) {
		return "killed"
	}
	if !hasRun && o.behind {
		return "crossed" // the answer before it closed the connection: it was not passed on
	}
	if waited >= soakDeadline {
		s.note("deadline", "%s at %s ended %v after it was sent, without an answer", o.id, o.proxy, waited)
		return "late"
	}
	if !hasRun && waited < soakReadLate {
		return "crossed"
	}
	stop := latest(entries, eventStop, o.proxy, o.ended)
	if stop == nil || o.ended.Sub(stop.at) > grace+time.Second {
		s.note("lost", "%s at %s was cut %v after it was sent, with no stop; ran: %v", o.id, o.proxy, waited, hasRun)
		return "lost"
	}
	after, end := o.sent.Sub(stop.at), o.ended.Sub(stop.at)
	if s.excused(o, stop) {
		return "out of time"
	}
	s.note("lost", "%s at %s was sent %v after SIGTERM and cut %v after it; ran: %v", o.id, o.proxy, after, end, hasRun)
	return "lost"
}

// checkLedgers looks for requests that ran twice, or although it was promised that they don't.
func (s *soak) checkLedgers(outcomes []soakOutcome, ran map[string]int) {
	for i := range outcomes {
		o := &outcomes[i]
		n := ran[o.id]
		if o.kind.once && n > 1 {
			s.note("runs twice", "%s ran %d times", o.id, n)
		}
		if o.kind.once && o.promise && n > 0 {
			s.note("refused but ran", "%s got %d", o.id, o.status)
		}
	}
}
