package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// Runs of random faults with many operators' changes violate no rule, and their history is linearizable. They must also lose replies,
// and the number of changes must stay within the bound that keeps the check of the history fast.
func TestRandomFaultsWithBulkChanges(t *testing.T) {
	t.Parallel()
	kinds := faultsNamed(t, "many successive changes", "replies to changes lost", "eight concurrent changes", "leader killed", "leader frozen")
	lost := 0
	for seed := range uint64(6) {
		w := RunRandomFaults(500+seed, Small, kinds, 12, 25*time.Second)
		requireNoFailure(t, w)
		lost += w.Stats.LostReplies
		if w.operators.bulkChanges == 0 || w.operators.bulkChanges > maxBulkChanges {
			t.Errorf("seed %d: %d bulk changes, want 1 to %d", w.Seed, w.operators.bulkChanges, maxBulkChanges)
		}
		began := time.Now()
		w.CheckHistory()
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("seed %d: the check of the history of %d calls took %v, want at most 5s", w.Seed, w.checks.history.Len(), took)
		}
	}
	if lost == 0 {
		t.Error("no reply to a change was lost in any run, want at least one")
	}
}

// A change whose replies are lost is sent again until a reply arrives, and is then accepted as a single change: the
// revision rises by one for each accepted change.
func TestChangesWithLostRepliesAreSentAgain(t *testing.T) {
	t.Parallel()
	w := Start(41, Small)
	before := w.Revision()
	w.loseReplies(4 * time.Second)
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	if w.Stats.LostReplies < w.operators.bulkChanges {
		t.Errorf("%d replies to %d changes were lost, want at least one for each", w.Stats.LostReplies, w.operators.bulkChanges)
	}
	for _, c := range w.operators.changes {
		if c.state == changeOpen {
			t.Errorf("change %s on revision %d got no final reply", c.token, c.base)
		}
	}
	if w.Stats.AcceptedChanges-1 != int(w.Revision()-before) {
		t.Errorf("%d changes were accepted, but the revision went from %d to %d, want an increase of one for each", w.Stats.AcceptedChanges-1, before, w.Revision())
	}
	w.Finish()
	requireNoFailure(t, w)
}

// The check of the history fails if a control plane rejects a change that it has accepted before: the change is sent
// again, since the first reply was lost.
func TestLostRepliesExposeRejectedRepetition(t *testing.T) {
	t.Parallel()
	w := Start(42, Small)
	w.disabledGuard = guardIdempotentChanges
	w.loseReplies(4 * time.Second)
	w.Run(w.now + 8*time.Second)
	w.CheckHistory()
	if w.Failure == "" {
		t.Error("no rule was violated, want a violation by the rejected repetitions")
	}
	t.Log(w.Failure)
}

// A rejection is final, except for a 503 in reply to a repetition: it does not tell whether an earlier copy was accepted.
func TestRejectionLeavesARepeatedChangeOpen(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		repetitions, status int
		open                bool
	}{{0, 503, false}, {1, 503, true}, {1, 412, false}, {1, 409, false}, {0, 412, false}} {
		change := &operatorChange{repetitions: c.repetitions}
		if change.leavesOpen(statemachine.Reply{Status: c.status}) != c.open {
			t.Errorf("status %d after %d repetitions: the change stays open: %v, want %v", c.status, c.repetitions, !c.open, c.open)
		}
	}
}
