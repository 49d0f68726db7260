package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// Days of changes in bulk hold: their history is linearizable, the faults
// come about, and the number of changes stays within the bound that keeps the check fast.
func TestDaysOfBulkChanges(t *testing.T) {
	t.Parallel()
	kinds := faultsNamed(t, "storm of changes", "answers to changes lost", "eight orders at once", "leader killed", "leader frozen")
	lost := 0
	for seed := range uint64(6) {
		w := Day(500+seed, Small, kinds, 12, 25*time.Second)
		requireNoFailure(t, w)
		lost += w.Stats.LostReplies
		if w.operators.bulkChanges == 0 || w.operators.bulkChanges > maxBulkChanges {
			t.Errorf("seed %d: %d orders in bulk, of at most %d", w.Seed, w.operators.bulkChanges, maxBulkChanges)
		}
		began := time.Now()
		w.CheckHistory()
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("seed %d: the check of %d calls took %v", w.Seed, w.checks.history.Len(), took)
		}
	}
	if lost == 0 {
		t.Error("no answer was lost")
	}
}

// A change whose replies are lost is acknowledged once one gets through, as one change.
func TestChangesWithLostRepliesAreSentAgain(t *testing.T) {
	t.Parallel()
	w := Start(41, Small)
	before := w.Revision()
	w.loseReplies(4 * time.Second)
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	if w.Stats.LostReplies < w.operators.bulkChanges {
		t.Errorf("%d answers of %d orders were lost", w.Stats.LostReplies, w.operators.bulkChanges)
	}
	for _, c := range w.operators.changes {
		if c.state == changeOpen {
			t.Errorf("%s on %d was never answered", c.token, c.base)
		}
	}
	if w.Stats.AcceptedChanges-1 != int(w.Revision()-before) {
		t.Errorf("%d orders were accepted, and the revision went from %d to %d", w.Stats.AcceptedChanges-1, before, w.Revision())
	}
	w.Finish()
	requireNoFailure(t, w)
}

// Lost replies show a control plane that rejects a change which it has accepted when it is sent again.
func TestLostRepliesShowRejectedRepetition(t *testing.T) {
	t.Parallel()
	w := Start(42, Small)
	w.disabledGuard = guardIdempotentChanges
	w.loseReplies(4 * time.Second)
	w.Run(w.now + 8*time.Second)
	w.CheckHistory()
	if w.Failure == "" {
		t.Error("no rule was broken")
	}
	t.Log(w.Failure)
}

// A rejection is final, but for 503 in reply to a repetition.
func TestRejectionLeavesARepeatedChangeOpen(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		repetitions, status int
		open                bool
	}{{0, 503, false}, {1, 503, true}, {1, 412, false}, {1, 409, false}, {0, 412, false}} {
		order := &operatorChange{repetitions: c.repetitions}
		if order.leavesOpen(statemachine.Reply{Status: c.status}) != c.open {
			t.Errorf("%d after %d repetitions: open %v, want %v", c.status, c.repetitions, !c.open, c.open)
		}
	}
}
