// This file is what a proxy knows of its targets' load and speed, from their answers.

package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// offers says that a target told lately of a free slot.
func (t *target) offers(now time.Duration) bool {
	return t.loadAt > 0 && now-t.loadAt < tuning.LoadTTL && t.used(now)+1/float64(t.slots) <= 1
}

// used is what part of a target's slots is taken, as far as is known here.
func (t *target) used(now time.Duration) float64 {
	n := float64(t.inflight)
	if age := now - t.loadAt; t.loadAt > 0 && age < tuning.LoadTTL {
		n += t.others * (1 - float64(age)/float64(tuning.LoadTTL))
	}
	return n / float64(max(1, t.slots))
}

// slowness is how a target's times compare with others', forgotten with time so that
// it is tried again.
func (t *target) slowness(now time.Duration) float64 {
	if age := now - t.paceAt; t.paceAt > 0 && age < tuning.SpeedTTL {
		return (t.pace - 1) * (1 - float64(age)/float64(tuning.SpeedTTL))
	}
	return 0
}

func (t *target) load(now time.Duration) float64 {
	l := t.used(now) + t.Demand + min(tuning.SpeedPenalty*t.slowness(now), tuning.SpeedPenaltyMax)
	if t.usedAt > 0 && now-t.usedAt < tuning.ConnIdle {
		l -= tuning.OpenConnBonus
	}
	if t.backAt > 0 && now-t.backAt < tuning.ReconcileEvery {
		l++
	}
	return l
}

// learn takes in what an answer tells of its target.
func (g *Proxy) learn(now time.Duration, t *target, x *request, s *service, e statemachine.AttemptDone) {
	if e.Load != nil {
		t.others, t.loadAt = max(0, float64(e.Load.Running+e.Load.Waiting-t.inflight)), now
	}
	switch e.Outcome {
	case statemachine.TargetRejected:
		t.fullTill = now + tuning.TargetFullBackoff
		s.window = max(s.least(), s.window*tuning.QuotaBackoffFactor)
		s.pressAt = now
		g.Counts.TargetRejections++
	case statemachine.Served:
		if float64(s.inflight)+1 >= s.window {
			s.window = min(s.most(), s.window+1/max(1, s.window))
		}
		if x.way == nil || e.Milliseconds <= 0 {
			return
		}
		usual := x.way.see(e.Milliseconds)
		if s.mean == 0 {
			s.mean = e.Milliseconds
		}
		s.mean += tuning.ResponseTimeWeight * (e.Milliseconds - s.mean)
		t.pace = 1 + t.slowness(now)
		if t.pace == 1 {
			t.paces = 0
		}
		t.paces++
		t.pace += max(tuning.SpeedWeight, 1/float64(t.paces+1)) * (e.Milliseconds/usual - t.pace)
		t.paceAt = now
	}
}
