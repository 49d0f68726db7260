package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"myrtlefold/internal/shared/tuning"
)

// stateAfter is a state after so many accepted changes, each built on the one before.
func stateAfter(changes int) State {
	s := New()
	s.Recovered = true
	for i := range changes {
		digest := digestOfChange(i)
		s.Apply(uint64(i+1), Command{Operation: OpConfigure, Token: fmt.Sprint("t", i), Base: s.Revision, Document: json.RawMessage(`{}`), Digest: &digest})
	}
	return s
}

// digestOfChange is the digest of a change of stateAfter.
func digestOfChange(i int) ChangeDigest { return DigestOf(fmt.Append(nil, i)) }

// checkFindChange checks what a state says of each of so many changes, of which it keeps the latest, and
// of other changes on the same bases.
func checkFindChange(t *testing.T, s *State, changes, kept int) {
	t.Helper()
	other := DigestOf([]byte("other"))
	for i := range changes {
		base, isKept := uint64(i), i >= changes-kept
		status, revision := s.FindChange(digestOfChange(i), base)
		if isKept && (status != AlreadyAccepted || revision != base+1) || !isKept && status != Forgotten {
			t.Fatalf("change %d: status %d, revision %d", i, status, revision)
		}
		want := Forgotten
		if isKept {
			want = NeverAccepted
		}
		if status, _ := s.FindChange(other, base); status != want {
			t.Fatalf("another change on base %d: status %d, want %d", base, status, want)
		}
	}
}

// Accepted changes are recognized far beyond the records, and a change that was built on a revision
// before all that is kept is not called rejected: also in a state that was encoded and in proxies' copies.
func TestAcceptedChangesOutliveRecords(t *testing.T) {
	const changes = tuning.AcceptedChangesKept + 100
	s := stateAfter(changes)
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var decoded State
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	decoded.completeChanges()
	var atProxies State
	if err := json.Unmarshal(s.EncodeForProxies(nil), &atProxies); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		state State
		kept  int
	}{
		{"applied", s, tuning.AcceptedChangesKept},
		{"decoded", decoded, tuning.AcceptedChangesKept},
		{"at proxies", atProxies, tuning.AcceptedChangesInTables},
	} {
		t.Run(c.name, func(t *testing.T) { checkFindChange(t, &c.state, changes, c.kept) })
	}
	if most := tuning.AcceptedChangesKept*acceptedChangeBytes*4/3 + 16<<10; len(text) > most {
		t.Errorf("a state of %d bytes", len(text))
	}
	if n := len(s.EncodeForProxies(nil)); n > 12<<10 {
		t.Errorf("proxies' copy has %d bytes", n)
	}
}

// A repeated change that reaches the log is accepted as the first was, stale or unknown, and changes nothing.
func TestRepeatedChangesInTheLog(t *testing.T) {
	const changes = tuning.AcceptedChangesKept + 100
	s := stateAfter(changes)
	for _, c := range []struct {
		token   string
		base    uint64
		digest  ChangeDigest
		outcome Outcome
	}{
		{"last", s.Revision - 1, digestOfChange(changes - 1), OutcomeAccepted},
		{"other", s.Revision - 1, DigestOf([]byte("other")), OutcomeStale},
		{"first", 0, digestOfChange(0), OutcomeUnknown},
	} {
		before := s.Revision
		s.Apply(s.Index+1, Command{Operation: OpConfigure, Token: c.token, Base: c.base, Document: json.RawMessage(`{"x":1}`), Digest: &c.digest})
		if r := s.FindRecord(c.token); r == nil || r.Outcome != c.outcome || s.Revision != before {
			t.Errorf("%+v: %+v, revision %d", c, r, s.Revision)
		}
	}
}

// A state that was written before accepted changes were kept rejects none that it can't know.
func TestStateWithoutAcceptedChanges(t *testing.T) {
	s := State{Revision: 7}
	s.completeChanges()
	if status, _ := s.FindChange(ChangeDigest{1}, 6); status != Forgotten {
		t.Errorf("status %d", status)
	}
}
