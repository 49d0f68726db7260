package outlier

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Score rates the decisions of one policy on the events so far. A target is out while a decision of the
// policy, an ejection or draining, applies to it.
type Score struct {
	Policy            string  `json:"policy"`
	Events            int     `json:"events"`             // events since the score began
	Ejections         int     `json:"bars"`               // ejections and drains begun
	WrongEjections    int     `json:"wrong_bars"`         // part of Ejections that hit a healthy target
	Errors            int     `json:"errors"`             // failed requests
	MissedErrors      int     `json:"missed"`             // part of Errors at targets that were not out
	Slow              int     `json:"slow"`               // slow requests
	MissedSlow        int     `json:"missed_slow"`        // part of Slow at targets that were not out
	TimeToEjectMs     float64 `json:"to_bar_ms"`          // median time from the first sign of a fault to the decision, in ms, 0 if unknown
	EjectedMs         float64 `json:"barred_ms"`          // total time that targets were out, in ms
	Transitions       int     `json:"moves"`              // number of times a target went out or came back
	FailedEvaluations uint64  `json:"failed_evaluations"` // number of evaluations that failed
}

const (
	historyMax    = 64              // events kept per target
	delaysMax     = 256             // delays kept per policy, whose median is TimeToEjectMs
	healthyWindow = 2 * time.Second // age up to which events count for history.isHealthy
)

// Scorer scores the live and shadow policies of a Detector. Each policy is scored by its own decisions
// alone.
type Scorer struct {
	detector  *Detector
	histories map[wire.TargetID]*history
	scores    map[string]*policyScore // by policy name
}

// history holds the latest events of a target.
type history struct {
	events     []Event       // at most historyMax, the oldest first
	faultSince time.Duration // time of the first sign of the current fault, 0 if there is none
}

// policyScore is the score of a policy with the state that is needed to update it.
type policyScore struct {
	Score
	settings config.Policy
	outSince map[wire.TargetID]time.Duration // when each target that is out went out
	delaysMs []float64                       // latest times from the first sign of a fault to the decision, in ms
}

// NewScorer returns a Scorer for a Detector. From then on call Step, Tick and Forget of the Scorer in place
// of the Detector's.
func NewScorer(d *Detector) *Scorer {
	return &Scorer{detector: d, histories: map[wire.TargetID]*history{}, scores: map[string]*policyScore{}}
}

// Step calls Detector.Step and updates the scores.
func (s *Scorer) Step(event Event) []Decision {
	id := event.ID()
	targetHistory := s.histories[id]
	if targetHistory == nil {
		targetHistory = &history{}
		s.histories[id] = targetHistory
	}
	s.countEvent(id, event)
	targetHistory.add(event)
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

// Tick calls Detector.Tick and updates the scores.
func (s *Scorer) Tick(now time.Duration) []Decision {
	decisions := s.detector.Tick(now)
	for _, d := range decisions {
		if score := s.scores[d.Policy]; score != nil {
			s.recordTransition(now, score, d.Policy, wire.TargetID{Service: d.Service, Name: d.Name, Incarnation: d.Incarnation})
		}
	}
	return decisions
}

// countEvent adds an event to each policy's score. It must be called before the policies are evaluated on the
// event, so that the event's errors count as missed if the event itself leads to the ejection. A policy that is
// new or has changed gets a new score.
func (s *Scorer) countEvent(id wire.TargetID, event Event) {
	for _, name := range s.detector.policyNames {
		settings := s.detector.policies[name].settings
		score := s.scores[name]
		if score == nil || score.settings != settings {
			score = &policyScore{Score: Score{Policy: name}, settings: settings, outSince: map[wire.TargetID]time.Duration{}}
			s.scores[name] = score
		}
		score.Events++
		if event.Signal != config.SignalRequest {
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

// recordTransition updates the score if the target has gone out or come back under the policy since the last
// call.
func (s *Scorer) recordTransition(now time.Duration, score *policyScore, policy string, id wire.TargetID) {
	decision, decided := s.detector.decided[id][policy]
	out := decided && decision.until > now
	since, wasOut := score.outSince[id]
	targetHistory := s.histories[id]
	if out == wasOut || targetHistory == nil {
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
	if targetHistory.isHealthy(now) {
		score.WrongEjections++
	}
	if targetHistory.faultSince > 0 {
		score.delaysMs = append(score.delaysMs, milliseconds(now-targetHistory.faultSince))
		if len(score.delaysMs) > delaysMax {
			score.delaysMs = score.delaysMs[1:]
		}
	}
}

// Forget calls Detector.Forget and ends the target's time out in all scores.
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

// Scores returns the scores as of now by policy name.
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

// add appends an event and updates faultSince.
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

// isFault reports whether an event is a sign of a fault: a missed health check or heartbeat, or requests of
// which more than half failed or were slow.
func (e *Event) isFault() bool {
	switch e.Signal {
	case config.SignalProbe, config.SignalHeartbeat:
		return !e.Success
	case config.SignalRequest:
		return (e.Errors+e.Slow)*2 > e.Count
	}
	return false
}

// endsFault reports whether an event shows that a fault is over. If the latest sign was a missed health check,
// that is an answered health check, else requests of which less than a tenth failed or were slow.
func (h *history) endsFault(e Event) bool {
	switch e.Signal {
	case config.SignalProbe:
		return e.Success && h.lastFaultySignal() == config.SignalProbe
	case config.SignalRequest:
		return h.lastFaultySignal() != config.SignalProbe && e.Count > 0 && (e.Errors+e.Slow)*10 < e.Count
	}
	return false
}

// lastFaultySignal returns the signal of the latest event with a missed health check or a failed or slow request,
// "" if there is none.
func (h *history) lastFaultySignal() config.Signal {
	for _, e := range slices.Backward(h.events) {
		if e.Signal == config.SignalProbe && !e.Success || e.Signal == config.SignalRequest && e.Errors+e.Slow > 0 {
			return e.Signal
		}
	}
	return ""
}

// isHealthy reports whether the target served requests within healthyWindow, less than a tenth of them failed
// or slow, and missed no health check or heartbeat.
func (h *history) isHealthy(now time.Duration) bool {
	requests, bad := 0, 0
	for _, e := range h.events {
		if now-e.At > healthyWindow {
			continue
		}
		switch e.Signal {
		case config.SignalRequest:
			requests += e.Count
			bad += e.Errors + e.Slow
		case config.SignalProbe, config.SignalHeartbeat:
			if !e.Success {
				return false
			}
		}
	}
	return requests > 0 && bad*10 < requests
}
