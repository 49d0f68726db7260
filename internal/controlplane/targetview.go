package controlplane

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// TargetView is the operators' view of a target.
type TargetView struct {
	wire.Target
	// EjectionPolicy is the outlier policy that ejected it, "" if it is not ejected, and EjectionLeftMs the remaining time
	// of the ejection in milliseconds.
	EjectionPolicy string `json:"bar,omitempty"`
	EjectionLeftMs int64  `json:"bar_left_ms,omitempty"`
	// Why is a text for operators: whether the target gets requests, and if not, why.
	Why string `json:"why"`
	// LastHeartbeatMs is the time since its last heartbeat, in milliseconds.
	LastHeartbeatMs float64 `json:"last_beat_ms"`
}

// Targets returns the views of the leader's targets, sorted by ID. On any other member they are the targets of its last
// leadership.
func (c *Controller) Targets(now time.Duration) []TargetView {
	views := []TargetView{}
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		view := TargetView{Target: t.Target, LastHeartbeatMs: milliseconds(now - t.lastHeartbeatAt)}
		view.Heartbeating, view.WarmupLeft = t.isHeartbeating(now), t.warmupLeft(now)
		if until, policy := c.detector.Ejected(now, id); until > now {
			view.EjectionPolicy, view.EjectionLeftMs = policy, (until - now).Milliseconds()
		}
		view.Why = c.explainTarget(t, view)
		views = append(views, view)
	}
	return views
}

// explainTarget returns the first reason for which requests are withheld from a target, or "serving". The texts are
// part of the API.
func (c *Controller) explainTarget(t *target, view TargetView) string {
	switch {
	case t.Draining:
		return "draining: it reported that it is leaving"
	case view.EjectionPolicy != "":
		return fmt.Sprintf("ejected by policy %s: %s", view.EjectionPolicy, c.detector.Stats()[view.EjectionPolicy].Policy.When)
	case t.unconfirmed:
		return "unconfirmed: no requests until it answers or sends steady heartbeats"
	case t.Pending:
		return "pending: an earlier target at its address is not yet out of every proxy's table"
	case slices.Contains(c.state.EmptiedDomains, t.Domain):
		return "its failure domain is emptied"
	case t.State == wire.TargetWarming:
		return "warming: limited to its share"
	case view.WarmupLeft > 0:
		return "warming up: limited to its service's warm-up rate (cold_per_s)"
	}
	return "serving"
}

// milliseconds returns a duration in milliseconds with its fraction.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
