package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"myrtlefold/internal/shared/tuning"
)

// taken is a state after so many accepted changes, each built on the one before.
func stateAfter(changes int) State {
	s := New()
	s.Recovered = true
	for i := range changes {
		d := DigestOf(fmt.Append(nil, i))
		s.Apply(uint64(i+1), Command{Operation: OpConfigure, Token: fmt.Sprint("t", i), Base: s.Revision, Document: json.RawMessage(`{}`), Digest: &d})
	}
	return s
}

// Accepted orders are known far past the records, and of one that was built on a revision
// before all that is remembered nobody says that it was refused.
func TestOrderMemory(t *testing.T) {
	changes := tuning.AcceptedChangesKept + 100
	s := stateAfter(changes)
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var read State
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	read.completeChanges()
	proxies := State{}
	if err := json.Unmarshal(s.EncodeForProxies(nil), &proxies); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		state State
		kept  int
	}{{"kept", s, tuning.AcceptedChangesKept}, {"read again", read, tuning.AcceptedChangesKept}, {"with proxies", proxies, tuning.AcceptedChangesInTables}} {
		for i := range changes {
			base := uint64(i)
			v, revision := c.state.FindChange(DigestOf(fmt.Append(nil, i)), base)
			if known := i >= changes-c.kept; known && (v != AlreadyAccepted || revision != base+1) || !known && v != Forgotten {
				t.Fatalf("%s: change %d: verdict %d, revision %d", c.name, i, v, revision)
			}
			if v, _ := c.state.FindChange(DigestOf([]byte("other")), base); v == AlreadyAccepted || v == NeverAccepted && i < changes-c.kept || v == Forgotten && i >= changes-c.kept {
				t.Fatalf("%s: another on base %d: verdict %d", c.name, base, v)
			}
		}
	}
	if most := tuning.AcceptedChangesKept*acceptedChangeBytes*4/3 + 16<<10; len(text) > most {
		t.Errorf("a state of %d bytes", len(text))
	}
	if n := len(s.EncodeForProxies(nil)); n > 12<<10 {
		t.Errorf("proxies' copy has %d bytes", n)
	}
}

// The log's verdict is the same: taken again, refused for good, or unknown.
func TestOrdersAgainInTheLog(t *testing.T) {
	s := stateAfter(tuning.AcceptedChangesKept + 100)
	last := DigestOf(fmt.Append(nil, tuning.AcceptedChangesKept+99))
	first, other := DigestOf(fmt.Append(nil, 0)), DigestOf([]byte("other"))
	for _, c := range []struct {
		token   string
		base    uint64
		sum     ChangeDigest
		outcome Outcome
	}{
		{"a", s.Revision - 1, last, OutcomeAccepted},
		{"b", s.Revision - 1, other, OutcomeStale},
		{"c", 0, first, OutcomeUnknown},
	} {
		was := s.Revision
		s.Apply(s.Index+1, Command{Operation: OpConfigure, Token: c.token, Base: c.base, Document: json.RawMessage(`{"x":1}`), Digest: &c.sum})
		if r := s.FindRecord(c.token); r == nil || r.Outcome != c.outcome || s.Revision != was {
			t.Errorf("%+v: %+v, revision %d", c, r, s.Revision)
		}
	}
}

// A state that was written before orders were remembered refuses none that it can't know.
func TestStateWithoutOrders(t *testing.T) {
	s := State{Revision: 7}
	s.completeChanges()
	if v, _ := s.FindChange(ChangeDigest{1}, 6); v != Forgotten {
		t.Errorf("verdict %d", v)
	}
}
