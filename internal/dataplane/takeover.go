// Replacement of restarted targets while there is no leader to add them to the table: a new incarnation (the
// successor) takes the place of the earlier one. This allows a service to be restarted target by target while
// the control plane is down.

package dataplane

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// recordSuccessor records the heartbeat of another incarnation of a known target. That successor replaces the
// target once it has answered a probe with its own identity. It must have the same service and name, and an
// address that no other target has. Any other new target has to wait for a leader. A recorded successor with steady
// heartbeats is kept when yet another incarnation reports.
func (p *Proxy) recordSuccessor(now time.Duration, report *wire.Target) {
	var earlier *targetState
	for id, target := range p.targets {
		switch {
		case id.Service == report.Service && id.Name == report.Name:
			earlier = target
		case target.Addr == report.Addr:
			return
		}
	}
	if earlier == nil || p.leavingSince[report.ID()] != 0 {
		return
	}
	successor := earlier.successor
	if successor != nil && successor.Incarnation != report.Incarnation && successor.heartbeats.IsSteady(now) {
		return
	}
	if successor == nil || successor.ID() != report.ID() || successor.Addr != report.Addr {
		successor = &targetState{Target: wire.Target{
			Service:     report.Service,
			Name:        report.Name,
			Incarnation: report.Incarnation,
			Addr:        report.Addr,
			Domain:      report.Domain,
			State:       wire.TargetWarming,
			ShareOffset: earlier.ShareOffset,
			Slots:       report.Slots,
			WarmupLeft:  report.WarmupLeft,
		}}
		earlier.successor = successor
	}
	successor.heartbeats.RecordHeartbeat(now)
}

// takeOver replaces a target by its successor after the successor has answered a probe with its own identity, unless
// the earlier incarnation may still be working.
func (p *Proxy) takeOver(now time.Duration, result *statemachine.ProbeResult) {
	for id, earlier := range p.targets {
		successor := earlier.successor
		if successor == nil || successor.ID() != result.ID {
			continue
		}
		successor.probePendingSince = 0
		report := result.Report
		answered := report != nil && report.ID() == result.ID && report.State != wire.TargetLeaving
		if p.state != PeerServing || !answered || !earlier.isSupersededBy(successor) {
			return
		}
		if report.State == wire.TargetReady {
			successor.State = wire.TargetReady
		}
		p.emit(statemachine.StateChange{
			Subject: statemachine.SubjectTarget,
			From:    fmt.Sprint(id.Incarnation),
			To:      fmt.Sprint(successor.Incarnation),
			Reason:  "a later incarnation of " + id.Service + "/" + id.Name + " answers, and there is no leader",
		})
		p.replaceTarget(now, id, successor)
		return
	}
}

// isSupersededBy reports whether the successor may replace the target, because the target is leaving, has missed
// its probes, or had the address that the successor now has.
func (t *targetState) isSupersededBy(successor *targetState) bool {
	return t.leaving || t.Draining || t.missedProbes >= tuning.ProbeMisses || t.Addr == successor.Addr
}

// replaceTarget replaces a target by its successor.
func (p *Proxy) replaceTarget(now time.Duration, id wire.TargetID, successor *targetState) {
	delete(p.targets, id)
	p.leavingSince[id] = now
	successor.newToFleet = true
	p.targets[successor.ID()] = successor
	successor.extendWarmup(now, max(successor.WarmupLeft, int64(p.warmupTime(successor.Service))))
	p.publishTargets(now)
}
