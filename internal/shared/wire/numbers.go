// This file discards numbers that no sound daemon sends: they can't be told to operators in
// JSON, and whatever is computed from them is lost too.

package wire

import (
	"math"
)

// DiscardNonFinite takes infinite and undefined numbers out of a message that was received:
// a demand then counts as not said, and times as 0.
func DiscardNonFinite(m *Message) {
	if m.Heartbeat != nil {
		discardUnsoundDemand(&m.Heartbeat.Demand, &m.Heartbeat.HasDemand)
	}
	if m.Push != nil {
		discardFromTable(m.Push.Table)
	}
	if m.Pull == nil {
		return
	}
	discardFromTable(m.Pull.Table)
	for i := range m.Pull.Stats {
		seen := &m.Pull.Stats[i]
		discardUnsoundDemand(&seen.Demand, &seen.HasDemand)
		if !isFinite(seen.TotalMs) {
			seen.TotalMs = 0
		}
	}
}

func discardFromTable(t *Table) {
	if t == nil {
		return
	}
	for i := range t.Targets {
		discardUnsoundDemand(&t.Targets[i].Demand, &t.Targets[i].HasDemand)
	}
}

func discardUnsoundDemand(demand *float64, has *bool) {
	if !isFinite(*demand) {
		*demand, *has = 0, false
	}
}

func isFinite(x float64) bool { return !math.IsInf(x, 0) && !math.IsNaN(x) }
