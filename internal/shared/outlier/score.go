package outlier

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Score says how well one policy did on the events so far. A target is out while it is under a
// decision of the policy.
type Score struct {
	Policy            string  `json:"policy"`
	Events            int     `json:"events"`
	Ejections         int     `json:"bars"`               // ejections and drains begun
	WrongEjections    int     `json:"wrong_bars"`         // of Ejections: the target was serving well
	Errors            int     `json:"errors"`             // failed requests
	MissedErrors      int     `json:"missed"`             // of Errors: at targets that were not out
	Slow              int     `json:"slow"`               // slow requests
	MissedSlow        int     `json:"missed_slow"`        // of Slow: at targets that were not out
	TimeToEjectMs     float64 `json:"to_bar_ms"`          // median time from a fault's first sign to the decision, in ms
	EjectedMs         float64 `json:"barred_ms"`          // time that targets were out, of all together, in ms
	Transitions       int     `json:"moves"`              // times that a target went out or came back
	FailedEvaluations uint64  `json:"failed_evaluations"` // of its conditions
}

const (
	historyMax = 64              // events kept of each target
	delaysMax  = 256             // delays kept of each policy, of which TimeToEjectMs is the median
	servingFor = 2 * time.Second // how far back events say whether a target is serving well
)

// Scorer scores the policies of a Detector, live and shadow ones. Each is scored by its own decisions,
// whatever the others decide.
type Scorer struct {
	detector  *Detector
	histories map[wire.TargetID]*history
	scores    map[string]*policyScore // by policy
}

// history is what the latest events show of a target.
type history struct {
	events     []Event
	faultSince time.Duration // first sign of the present fault, 0: there is none
}

// policyScore is the score of a policy, and what it is computed from.
type policyScore struct {
	Score
	settings config.Policy
	outSince map[wire.TargetID]time.Duration // of targets that are out
	delaysMs []float64                       // the latest, from a fault's first sign to the decision
}

// NewScorer returns a Scorer of a Detector, whose events and ticks must all go through it.
func NewScorer(d *Detector) *Scorer {
	return &Scorer{detector: d, histories: map[wire.TargetID]*history{}, scores: map[string]*policyScore{}}
}

// Step is Detector.Step, scored.
func (s *Scorer) Step(event Event) []Decision {
	id := event.ID()
	past := s.histories[id]
	if past == nil {
		past = &history{}
		s.histories[id] = past
	}
	s.countEvent(id, event)
	past.add(event)
	decisions := s.detector.Step(event)
	for name, score := range s.scores {
		if s.detector.policies[name] == nil {
			delete(s.scores, name)
			continue
		}
		s.recordTransition(event.At, score, name, id)
	}
	return decisions
}

// Tick is Detector.Tick, scored.
func (s *Scorer) Tick(now time.Duration) []Decision {
	decisions := s.detector.Tick(now)
	for _, d := range decisions {
		if score := s.scores[d.Policy]; score != nil {
			s.recordTransition(now, score, d.Policy, wire.TargetID{Service: d.Service, Name: d.Name, Incarnation: d.Incarnation})
		}
	}
	return decisions
}

// countEvent counts an event for each policy, as of before its decision on it. A policy that is new or has changed
// begins with a new score.
func (s *Scorer) countEvent(id wire.TargetID, event Event) {
	for _, name := range s.detector.policyNames {
		settings := s.detector.policies[name].settings
		score := s.scores[name]
		if score == nil || score.settings != settings {
			score = &policyScore{Score: Score{Policy: name}, settings: settings, outSince: map[wire.TargetID]time.Duration{}}
			s.scores[name] = score
		}
		score.Events++
		if event.Slice != config.SliceRequest {
			continue
		}
		score.Errors += event.Errors
		score.Slow += event.Slow
		if _, out := score.outSince[id]; !out {
			score.MissedErrors += event.Errors
			score.MissedSlow += event.Slow
		}
	}
}

// recordTransition scores that a target went out under a policy, or came back.
func (s *Scorer) recordTransition(now time.Duration, score *policyScore, policy string, id wire.TargetID) {
	decision, decided := s.detector.decided[id][policy]
	out := decided && decision.until > now
	since, wasOut := score.outSince[id]
	past := s.histories[id]
	if out == wasOut || past == nil {
		return
	}
	score.Transitions++
	if !out {
		delete(score.outSince, id)
		score.EjectedMs += milliseconds(now - since)
		return
	}
	score.outSince[id] = now
	score.Ejections++
	if past.isServing(now) {
		score.WrongEjections++
	}
	if past.faultSince > 0 {
		score.delaysMs = append(score.delaysMs, milliseconds(now-past.faultSince))
		if len(score.delaysMs) > delaysMax {
			score.delaysMs = score.delaysMs[1:]
		}
	}
}

// Forget drops a target that is gone for good.
func (s *Scorer) Forget(now time.Duration, id wire.TargetID) {
	for _, score := range s.scores {
		if since, out := score.outSince[id]; out {
			score.EjectedMs += milliseconds(now - since)
			delete(score.outSince, id)
		}
	}
	delete(s.histories, id)
	s.detector.Forget(id)
}

// Scores returns the policies' scores as of now, by name.
func (s *Scorer) Scores(now time.Duration) map[string]Score {
	scores := map[string]Score{}
	for name, score := range s.scores {
		result := score.Score
		for _, since := range score.outSince {
			result.EjectedMs += milliseconds(now - since)
		}
		if n := len(score.delaysMs); n > 0 {
			result.TimeToEjectMs = slices.Sorted(slices.Values(score.delaysMs))[n/2]
		}
		if p := s.detector.policies[name]; p != nil {
			result.FailedEvaluations = p.failed
		}
		scores[name] = result
	}
	return scores
}

// add keeps an event and whether it begins or ends a fault.
func (h *history) add(e Event) {
	if e.isFault() && h.faultSince == 0 {
		h.faultSince = e.At
	} else if h.endsFault(e) {
		h.faultSince = 0
	}
	h.events = append(h.events, e)
	if len(h.events) > historyMax {
		h.events = h.events[1:]
	}
}

// isFault reports whether an event is a sign of a fault: a missed health check or heartbeat, or more than half
// of the requests failed or slow.
func (e *Event) isFault() bool {
	switch e.Slice {
	case config.SliceProbe, config.SliceHeartbeat:
		return !e.Success
	case config.SliceRequest:
		return (e.Errors+e.Slow)*2 > e.Count
	}
	return false
}

// endsFault reports whether an event shows that a fault is over: an answered health check after a missed one, or
// requests of which less than a tenth failed or were slow, unless health checks showed the fault last.
func (h *history) endsFault(e Event) bool {
	switch e.Slice {
	case config.SliceProbe:
		return e.Success && h.lastFaultySlice() == config.SliceProbe
	case config.SliceRequest:
		return h.lastFaultySlice() != config.SliceProbe && e.Count > 0 && (e.Errors+e.Slow)*10 < e.Count
	}
	return false
}

// lastFaultySlice returns the slice of the latest missed health check, failed or slow request; "" if there is none.
func (h *history) lastFaultySlice() config.Slice {
	for _, e := range slices.Backward(h.events) {
		if e.Slice == config.SliceProbe && !e.Success || e.Slice == config.SliceRequest && e.Errors+e.Slow > 0 {
			return e.Slice
		}
	}
	return ""
}

// isServing reports whether the target has served well of late: no missed health check or heartbeat, and less
// than a tenth of its requests failed or slow.
func (h *history) isServing(now time.Duration) bool {
	requests, bad := 0, 0
	for _, e := range h.events {
		if now-e.At > servingFor {
			continue
		}
		switch e.Slice {
		case config.SliceRequest:
			requests += e.Count
			bad += e.Errors + e.Slow
		case config.SliceProbe, config.SliceHeartbeat:
			if !e.Success {
				return false
			}
		}
	}
	return requests > 0 && bad*10 < requests
}
