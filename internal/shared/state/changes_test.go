package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"myrtlefold/internal/shared/tuning"
)

// stateAfter returns a state after a number of accepted changes, each based on the one before.
func stateAfter(changes int) State {
	s := New()
	s.Recovered = true
	for i := range changes {
		digest := digestOfChange(i)
		s.Apply(uint64(i+1), Command{Operation: OpConfigure, Token: fmt.Sprint("t", i), Base: s.Revision, Document: json.RawMessage(`{}`), Digest: &digest})
	}
	return s
}

// digestOfChange returns the digest of the i-th change in stateAfter.
func digestOfChange(i int) ChangeDigest { return DigestOf(fmt.Append(nil, i)) }

// checkFindChange checks the status of each of the changes in stateAfter, of which the state keeps the latest kept,
// and of a change that was never accepted on each of the same bases.
func checkFindChange(t *testing.T, s *State, changes, kept int) {
	t.Helper()
	other := DigestOf([]byte("other"))
	for i := range changes {
		base, isKept := uint64(i), i >= changes-kept
		status, revision := s.FindChange(digestOfChange(i), base)
		if isKept && (status != AlreadyAccepted || revision != base+1) || !isKept && status != StatusUnknown {
			t.Fatalf("change %d: status %d, revision %d, want status %d with revision %d if kept (%v), else status %d", i, status, revision, AlreadyAccepted, base+1, isKept, StatusUnknown)
		}
		want := StatusUnknown
		if isKept {
			want = NeverAccepted
		}
		if status, _ := s.FindChange(other, base); status != want {
			t.Fatalf("change that was never accepted, on base %d: status %d, want %d", base, status, want)
		}
	}
}

// Accepted changes are recognized long after their records are dropped, and a change whose base is older than all
// kept changes is reported as unknown, not as rejected. Both hold in a decoded state and in proxies' copies too.
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
	decoded.initCompleteSince()
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
		t.Errorf("the encoded state has %d bytes, want at most %d", len(text), most)
	}
	if n := len(s.EncodeForProxies(nil)); n > 12<<10 {
		t.Errorf("the copy for proxies has %d bytes, want at most %d", n, 12<<10)
	}
}

// A configuration with an outdated base that reaches the log changes nothing. Its outcome is accepted if it repeats an
// accepted change, unknown if its base is older than all kept changes, else stale.
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
			t.Errorf("%+v: record %+v, want outcome %s; revision %d, want %d", c, r, c.outcome, s.Revision, before)
		}
	}
}

// In a state stored by a version that did not keep accepted changes, the status of an earlier change is unknown, not
// rejected.
func TestStateWithoutAcceptedChanges(t *testing.T) {
	s := State{Revision: 7}
	s.initCompleteSince()
	if status, _ := s.FindChange(ChangeDigest{1}, 6); status != StatusUnknown {
		t.Errorf("status %d, want %d", status, StatusUnknown)
	}
}
