// This file measures how steadily a target's heartbeats arrive.

package targetreport

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Streak is a target's latest series of heartbeats without a gap. The zero value has none.
type Streak struct {
	count       int
	first, last time.Duration // when they arrived
}

// RecordHeartbeat adds a heartbeat; one that comes after a gap of more than tuning.TargetHeartbeatTimeout
// begins a new series.
func (s *Streak) RecordHeartbeat(now time.Duration) {
	if s.count == 0 || now-s.last > tuning.TargetHeartbeatTimeout {
		s.count, s.first = 0, now
	}
	s.count++
	s.last = now
}

// IsSteady says that heartbeats arrive as a running target's do: enough of them, over a long enough time,
// and the last one lately. One that was delayed on its way is no such series.
func (s *Streak) IsSteady(now time.Duration) bool {
	return s.count >= tuning.ProofHeartbeats && s.last-s.first >= tuning.ProofSpan && now-s.last < tuning.TargetHeartbeatTimeout
}

// Count is the number of heartbeats in the series.
func (s *Streak) Count() int { return s.count }
