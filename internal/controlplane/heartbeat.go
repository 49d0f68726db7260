// This file handles the heartbeats of targets. A heartbeat can also announce that a target is leaving, or sign it off.

package controlplane

import (
	"cmp"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// handleHeartbeat handles a heartbeat that comes from the target itself or was relayed by another daemon. A member that is
// neither Gathering nor Leading relays it to the leader if mayRelay is set. A relayed heartbeat is not relayed again.
func (c *Controller) handleHeartbeat(now time.Duration, report wire.Target, mayRelay bool) {
	if c.leadership != Leading && c.leadership != Gathering {
		if mayRelay {
			c.send(c.leader(now), &wire.Message{Kind: wire.KindHeartbeat, Timestamp: wire.RelayedHeartbeatTimestamp, Heartbeat: &report})
		}
		return
	}
	id := report.ID()
	if c.tombstones[id] != 0 {
		c.tombstones[id] = now // a tombstone is kept as long as the target still sends
		return
	}
	if report.State == wire.TargetGone {
		c.signOff(now, id)
		return
	}
	t := c.targets[id]
	// A number not above the highest one so far belongs to an old heartbeat that arrived late.
	if known := cmp.Or(t, c.claims[id]); known != nil && report.Number != 0 && report.Number <= known.Number {
		return
	}
	// An incarnation never changes its address, so a heartbeat from another one is rejected. A leave notice is accepted
	// from any address.
	if t != nil && t.Addr != report.Addr && report.State != wire.TargetLeaving {
		c.counts.Rejected++
		return
	}
	if t == nil {
		if t = c.registerFromHeartbeat(now, report); t == nil {
			return
		}
	}
	c.updateFromReport(now, t, report)
	c.advanceState(now, t, report.State)
	c.evaluateHeartbeat(now, t)
	c.rebuildTableAfterTargetChange(now, t)
}

// signOff permanently removes a target that reported that it is gone.
func (c *Controller) signOff(now time.Duration, id wire.TargetID) {
	c.removeTarget(now, id, "signed off")
	delete(c.claims, id)
	c.tombstones[id] = now
	c.rebuildTable(now, false)
}

// registerFromHeartbeat registers the target of a heartbeat, see registerTarget. A leave notice is recorded even if the
// target only gets a claim for now.
func (c *Controller) registerFromHeartbeat(now time.Duration, report wire.Target) *target {
	if report.State == wire.TargetLeaving {
		c.leavingTargets[report.ID()] = now
	}
	return c.registerTarget(now, report)
}

// updateFromReport updates a target from a heartbeat, except for its state (see advanceState).
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

// recordHeartbeat records the arrival of a heartbeat. A single one does not confirm the target, since it may be a late one
// of an incarnation that has ended. Steady heartbeats confirm it even if no probe gets through.
func (t *target) recordHeartbeat(now time.Duration) {
	t.lastHeartbeatAt, t.lastAliveAt = now, now
	t.heartbeatStreak.RecordHeartbeat(now)
	t.unconfirmed = t.unconfirmed && !t.heartbeatStreak.IsSteady(now)
}

// evaluateHeartbeat passes a heartbeat to the outlier policies, and the demand if the target has reported one.
func (c *Controller) evaluateHeartbeat(now time.Duration, t *target) {
	heartbeat := t.outlierEvent(now, config.SignalHeartbeat)
	heartbeat.Success, heartbeat.State = true, t.State
	c.evaluateEvent(heartbeat)
	if t.HasDemand {
		demand := t.outlierEvent(now, config.SignalDemand)
		demand.Demand = t.Demand
		c.evaluateEvent(demand)
	}
}

// evaluateHeartbeatGap passes to the outlier policies an event that states for how long no heartbeat has arrived.
func (c *Controller) evaluateHeartbeatGap(now time.Duration, t *target) {
	gap := t.outlierEvent(now, config.SignalHeartbeat)
	gap.State = t.State
	gap.Milliseconds = float64(now-t.lastHeartbeatAt) / float64(time.Millisecond)
	c.evaluateEvent(gap)
}

// outlierEvent returns an outlier event of a target without the fields that are specific to the signal.
func (t *target) outlierEvent(now time.Duration, signal config.Signal) outlier.Event {
	return outlier.Event{At: now, Signal: signal, Service: t.Service, Name: t.Name, Incarnation: t.Incarnation}
}
