// This file takes targets' heartbeats, which also say that a target leaves or signs off.

package controlplane

import (
	"cmp"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// handleHeartbeat takes a heartbeat, from the target itself or relayed by another daemon. A member that isn't the leader
// relays it if mayRelay is set, and so at most once.
func (c *Controller) handleHeartbeat(now time.Duration, report wire.Target, mayRelay bool) {
	if c.leadership != Leading && c.leadership != Gathering {
		if mayRelay {
			c.send(c.leader(now), &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &report})
		}
		return
	}
	id := report.ID()
	if c.tombstones[id] != 0 {
		c.tombstones[id] = now // kept for as long as it still sends
		return
	}
	if report.State == wire.TargetGone {
		c.signOff(now, id)
		return
	}
	t := c.targets[id]
	// A number that isn't above the highest so far is of an old heartbeat that came late.
	if known := cmp.Or(t, c.claims[id]); known != nil && report.Number != 0 && report.Number <= known.Number {
		return
	}
	// An incarnation doesn't move. One that leaves is drained wherever it is.
	if t != nil && t.Addr != report.Addr && report.State != wire.TargetLeaving {
		c.counts.Rejected++
		return
	}
	if t == nil {
		if t = c.registerReported(now, report); t == nil {
			return
		}
	}
	c.updateFromReport(now, t, report)
	c.advanceState(now, t, report.State)
	c.judgeHeartbeat(now, t)
	c.targetChanged(now, t)
}

// signOff removes a target that says that it is gone, for good.
func (c *Controller) signOff(now time.Duration, id wire.TargetID) {
	c.removeTarget(now, id, "signed off")
	delete(c.claims, id)
	c.tombstones[id] = now
	c.rebuildTable(now, false)
}

// registerReported registers the target of a heartbeat. That it leaves is kept also if it only gets a claim so far.
func (c *Controller) registerReported(now time.Duration, report wire.Target) *target {
	if report.State == wire.TargetLeaving {
		c.leavingTargets[report.ID()] = now
	}
	return c.registerTarget(now, report)
}

// updateFromReport takes over all that a heartbeat says but the state.
func (c *Controller) updateFromReport(now time.Duration, t *target, report wire.Target) {
	t.recordHeartbeat(now)
	if report.HasDemand {
		t.Demand, t.HasDemand = report.Demand, true
	}
	if report.Slots != 0 {
		t.Slots = report.Slots
	}
	t.Number = max(t.Number, report.Number)
	if report.WarmupLeft > 0 {
		t.warmupEnd = max(t.warmupEnd, now+time.Duration(report.WarmupLeft))
	} else if report.Number != 0 && report.Number >= t.warmupEndNumber {
		t.warmupEnd = 0
	}
}

// recordHeartbeat counts a heartbeat. One alone confirms nothing, since it may be a late one of an incarnation that is
// over. Steady ones do, even if no probe gets through.
func (t *target) recordHeartbeat(now time.Duration) {
	t.lastHeartbeatAt, t.lastAliveAt = now, now
	t.heartbeatStreak.RecordHeartbeat(now)
	t.unconfirmed = t.unconfirmed && !t.heartbeatStreak.IsSteady(now)
}

// judgeHeartbeat gives the outlier policies a heartbeat, and the demand if the target reports one.
func (c *Controller) judgeHeartbeat(now time.Duration, t *target) {
	heartbeat := t.outlierEvent(now, config.SliceHeartbeat)
	heartbeat.Success, heartbeat.State = true, t.State
	c.judgeEvent(heartbeat)
	if t.HasDemand {
		demand := t.outlierEvent(now, config.SliceDemand)
		demand.Demand = t.Demand
		c.judgeEvent(demand)
	}
}

// judgeHeartbeatGap gives the outlier policies an event of heartbeats that don't come.
func (c *Controller) judgeHeartbeatGap(now time.Duration, t *target) {
	gap := t.outlierEvent(now, config.SliceHeartbeat)
	gap.State = t.State
	gap.Milliseconds = float64(now-t.lastHeartbeatAt) / float64(time.Millisecond)
	c.judgeEvent(gap)
}

// outlierEvent returns an event of a target, without what its slice adds.
func (t *target) outlierEvent(now time.Duration, slice config.Slice) outlier.Event {
	return outlier.Event{At: now, Slice: slice, Service: t.Service, Name: t.Name, Incarnation: t.Incarnation}
}
