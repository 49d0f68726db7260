// This file lets a restarted target take over the place of its earlier incarnation while no leader can put it into the
// table. So a service can be restarted target by target while the control plane is down.

package dataplane

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// noteSuccessor notes another incarnation of a target of the table. It takes over once it has answered a probe as
// itself. Only the same service and name will do, at an address that no other target has; everything else
// waits for a leader.
func (p *Proxy) noteSuccessor(now time.Duration, report *wire.Target) {
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

// takeOver puts a successor that has answered a probe as itself in the place of the earlier incarnation, unless that one
// still answers too.
func (p *Proxy) takeOver(now time.Duration, result *statemachine.ProbeResult) {
	for id, earlier := range p.targets {
		successor := earlier.successor
		if successor == nil || successor.ID() != result.ID {
			continue
		}
		successor.probePendingSince = 0
		report := result.Report
		answered := report != nil && report.ID() == result.ID && report.State != wire.TargetLeaving
		if p.state != PeerServing || !answered || !earlier.isGoneFor(successor) {
			return
		}
		if report.State == wire.TargetReady {
			successor.State = wire.TargetReady
		}
		p.emit(statemachine.StateChange{
			Subject: statemachine.SubjectTarget,
			From:    fmt.Sprint(id.Incarnation),
			To:      fmt.Sprint(successor.Incarnation),
			Reason:  "a later start of " + id.Service + "/" + id.Name + " answers, and no leader is there",
		})
		p.replaceTarget(now, id, successor)
		return
	}
}

// isGoneFor reports that the target does not work any more beside its successor.
func (t *targetState) isGoneFor(successor *targetState) bool {
	return t.leaving || t.Draining || t.missedProbes >= tuning.ProbeMisses || t.Addr == successor.Addr
}

// replaceTarget puts a successor in a target's place.
func (p *Proxy) replaceTarget(now time.Duration, id wire.TargetID, successor *targetState) {
	delete(p.targets, id)
	p.leavingSince[id] = now
	successor.newToFleet = true
	p.targets[successor.ID()] = successor
	successor.extendWarmup(now, max(successor.WarmupLeft, int64(p.warmupTime(successor.Service))))
	p.publishTargets(now)
}
