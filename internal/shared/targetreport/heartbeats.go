package targetreport

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Streak is the latest series of a target's heartbeats without a gap. The zero value is an empty series.
type Streak struct {
	count       int           // number of heartbeats in the series
	first, last time.Duration // arrival times of the first and last heartbeat
}

// RecordHeartbeat adds a heartbeat to the series, or begins a new one if more than tuning.TargetHeartbeatTimeout has
// passed since the last heartbeat.
func (s *Streak) RecordHeartbeat(now time.Duration) {
	if s.count == 0 || now-s.last > tuning.TargetHeartbeatTimeout {
		s.count, s.first = 0, now
	}
	s.count++
	s.last = now
}

// IsSteady reports whether the heartbeats show that the target is running: at least tuning.AliveHeartbeatsMin over at least
// tuning.AliveHeartbeatsSpan, the last one within tuning.TargetHeartbeatTimeout. A single delayed heartbeat does not count.
func (s *Streak) IsSteady(now time.Duration) bool {
	return s.count >= tuning.AliveHeartbeatsMin && s.last-s.first >= tuning.AliveHeartbeatsSpan && now-s.last < tuning.TargetHeartbeatTimeout
}

// Count returns the number of heartbeats in the series.
func (s *Streak) Count() int { return s.count }
