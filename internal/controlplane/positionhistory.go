// This file remembers which position in the log this member knew at which time, so that a call that it reads late can be
// judged by what it knew while the caller was certainly waiting.

package controlplane

import (
	"sort"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
)

// knownPosition is a position that a member knew from a time on.
type knownPosition struct {
	since    time.Duration
	position consensus.Position
}

// positionHistory holds the latest known positions, in the order of their times. The zero value is empty.
type positionHistory struct{ known []knownPosition }

// record adds a position that is known at the time now. Of positions within tuning.PositionInterval only the last one is
// kept, with its own time: an earlier lookup then finds the one before, which was known too.
func (h *positionHistory) record(now time.Duration, position consensus.Position) {
	n := len(h.known)
	if n > 0 && h.known[n-1].position == position {
		return
	}
	if n > 1 && now-h.known[n-2].since < tuning.PositionInterval {
		h.known[n-1] = knownPosition{now, position}
		return
	}
	if n == tuning.PositionsKept {
		copy(h.known, h.known[1:])
		h.known = h.known[:n-1]
	}
	h.known = append(h.known, knownPosition{now, position})
}

// at returns the latest position that was known at a time, the zero value if none is recorded.
func (h *positionHistory) at(when time.Duration) consensus.Position {
	later := sort.Search(len(h.known), func(i int) bool { return h.known[i].since > when })
	if later == 0 {
		return consensus.Position{}
	}
	return h.known[later-1].position
}
