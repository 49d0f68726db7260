// This file remembers which position in the log this member knew at which time, so that a call that it reads late can be
// judged by what it knew while the caller was certainly waiting.

package controlplane

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// logPosition is a position in the log of an epoch, as a member knows it: all entries up to committed are in the log of every
// leader. The entries after it up to last, which is of the given term, may be replaced by others.
type logPosition struct{ epoch, committed, term, last uint64 }

// String returns the position in the form of a query value. An earlier release reads the first two numbers only.
func (p logPosition) String() string {
	return fmt.Sprintf("%d.%d.%d.%d", p.epoch, p.committed, p.term, p.last)
}

// parseLogPosition parses the result of String. A position from an earlier release has no term and last entry.
func parseLogPosition(text string) (position logPosition, err error) {
	fields := strings.Split(text, ".")
	numbers := []*uint64{&position.epoch, &position.committed, &position.term, &position.last}
	if len(fields) != 2 && len(fields) != len(numbers) {
		return position, errors.Newf("%d numbers, want 2 or %d", len(fields), len(numbers))
	}
	for i, field := range fields {
		if *numbers[i], err = strconv.ParseUint(field, 10, 64); err != nil {
			return position, err
		}
	}
	return position, nil
}

// knownPosition is a position that a member knew from a time on.
type knownPosition struct {
	since    time.Duration
	position logPosition
}

// positionHistory holds the latest known positions, in the order of their times. The zero value is empty.
type positionHistory struct{ known []knownPosition }

// record adds a position that is known at the time now. Of positions within tuning.PositionInterval only the last one is
// kept, with its own time: an earlier lookup then finds the one before, which was known too.
func (h *positionHistory) record(now time.Duration, position logPosition) {
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
func (h *positionHistory) at(when time.Duration) logPosition {
	later := sort.Search(len(h.known), func(i int) bool { return h.known[i].since > when })
	if later == 0 {
		return logPosition{}
	}
	return h.known[later-1].position
}
