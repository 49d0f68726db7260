package wire

import "math"

// DiscardNonFinite removes infinities and NaNs from a received message: such a demand becomes unset, and
// such a response time 0. Daemons do not produce these values themselves. They cannot be encoded in the
// JSON reports for operators, and would invalidate every sum that includes them.
func DiscardNonFinite(message *Message) {
	if message.Heartbeat != nil {
		discardDemand(&message.Heartbeat.Demand, &message.Heartbeat.HasDemand)
	}
	if message.Push != nil {
		discardFromTable(message.Push.Table)
	}
	if message.Pull != nil {
		discardFromTable(message.Pull.Table)
		discardFromStats(message.Pull.Stats)
	}
}

func discardFromStats(stats []TargetStats) {
	for i := range stats {
		s := &stats[i]
		discardDemand(&s.Demand, &s.HasDemand)
		if !isFinite(s.TotalMs) {
			s.TotalMs = 0
		}
	}
}

func discardFromTable(t *Table) {
	if t == nil {
		return
	}
	for i := range t.Targets {
		discardDemand(&t.Targets[i].Demand, &t.Targets[i].HasDemand)
	}
}

func discardDemand(demand *float64, hasDemand *bool) {
	if !isFinite(*demand) {
		*demand, *hasDemand = 0, false
	}
}

func isFinite(x float64) bool { return !math.IsInf(x, 0) && !math.IsNaN(x) }
