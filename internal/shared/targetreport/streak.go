package targetreport

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Streak is how a target's heartbeats come: how many there were without a gap, and since when.
type Streak struct {
	beats       int
	first, last time.Duration
}

// RecordHeartbeat counts a heartbeat; one that comes after a gap begins a new streak.
func (v *Streak) RecordHeartbeat(now time.Duration) {
	if v.beats == 0 || now-v.last > tuning.TargetHeartbeatTimeout {
		v.beats, v.first = 0, now
	}
	v.beats++
	v.last = now
}

// Speaks says that they come as a living one's do, not as one late word.
func (v *Streak) IsSteady(now time.Duration) bool {
	return v.beats >= tuning.ProofHeartbeats && v.last-v.first >= tuning.ProofSpan && now-v.last < tuning.TargetHeartbeatTimeout
}

// Count is how many heartbeats the streak has.
func (v *Streak) Count() int { return v.beats }
