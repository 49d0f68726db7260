package wire

import "math"

// DiscardNonFinite removes infinite and undefined numbers from a received message: a demand is then not
// set, and a time 0. No daemon sends such numbers by itself; they have no form in JSON, in which they
// would be reported to operators, and they spoil every sum that they enter.
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

func discardDemand(demand *float64, has *bool) {
	if !isFinite(*demand) {
		*demand, *has = 0, false
	}
}

func isFinite(x float64) bool { return !math.IsInf(x, 0) && !math.IsNaN(x) }
