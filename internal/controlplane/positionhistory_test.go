package controlplane

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
)

// TestPositionsFoundWereKnown checks on random histories that a lookup finds a position which was known at that time, and the
// latest one if no other followed it within tuning.PositionInterval.
func TestPositionsFoundWereKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history positionHistory
		var all []knownPosition
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "records") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "microseconds")) * time.Microsecond
			position := consensus.Position{Epoch: 1, Committed: uint64(i + 1)}
			history.record(now, position)
			all = append(all, knownPosition{now, position})
		}
		if latest := all[len(all)-1].position; history.at(now) != latest {
			t.Fatalf("at the end: found %v, want %v", history.at(now), latest)
		}
		when := time.Duration(rapid.Int64Range(0, int64(now)).Draw(t, "when"))
		if found := history.at(when); found.Committed > 0 && all[found.Committed-1].since > when {
			t.Fatalf("at %v: found %v, which was known only at %v", when, found, all[found.Committed-1].since)
		}
	})
}

// TestPositionsApartAreAllFound checks that positions further apart than tuning.PositionInterval are all found, up to as many
// as are kept, and none before them.
func TestPositionsApartAreAllFound(t *testing.T) {
	var history positionHistory
	const records = tuning.PositionsKept + 10
	at := func(i int) time.Duration { return time.Second + time.Duration(i)*tuning.PositionInterval }
	for i := range records {
		history.record(at(i), consensus.Position{Epoch: 1, Committed: uint64(i)})
	}
	if n := len(history.known); n != tuning.PositionsKept {
		t.Errorf("%d positions are kept, want %d", n, tuning.PositionsKept)
	}
	for i := range records {
		want := consensus.Position{Epoch: 1, Committed: uint64(i)}
		if i < records-tuning.PositionsKept {
			want = consensus.Position{}
		}
		if found := history.at(at(i)); found != want {
			t.Errorf("at record %d: found %v, want %v", i, found, want)
		}
	}
}
