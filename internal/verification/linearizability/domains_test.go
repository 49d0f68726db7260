package linearizability

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Check of a domain's history accepts late effects of a change that was given up, until a later change is acknowledged.
func TestCheckOfDomains(t *testing.T) {
	emptied, restored := []string{"z"}, []string{}
	for _, c := range []struct {
		name         string
		linearizable bool
		calls        func(h *DomainHistory)
	}{
		{"emptied, then read", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(11*ms, 12*ms, emptied)
		}},
		{"emptied, then read as restored", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(11*ms, 12*ms, restored)
		}},
		{"read during the change", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Read(5*ms, 6*ms, restored)
		}},
		{"a rejected change is read", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).NoEffect(10 * ms)
			h.Read(11*ms, 12*ms, emptied)
		}},
		{"given up, takes effect late", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(10 * ms)
			h.Read(11*ms, 12*ms, restored)
			h.Read(20*ms, 21*ms, emptied)
		}},
		{"given up, never takes effect", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(10 * ms)
			h.Read(11*ms, 12*ms, restored)
		}},
		{"given up, takes effect after a later change was acknowledged", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Change(20*ms, "z", "b", false).Abandon(30 * ms)
			h.Change(31*ms, "z", "c", false).Acknowledge(40 * ms)
			h.Change(41*ms, "z", "d", true).Acknowledge(50 * ms)
			h.Read(60*ms, 61*ms, emptied)
			h.Read(70*ms, 71*ms, restored)
		}},
		{"given up, and a change that was sent before that is acknowledged", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Abandon(30 * ms)
			h.Change(20*ms, "z", "b", false).Acknowledge(25 * ms)
			h.Read(40*ms, 41*ms, emptied)
		}},
		{"emptied before state was lost, then read", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			late := h.Change(20*ms, "z", "b", true)
			h.Reset()
			h.Read(30*ms, 31*ms, restored)
			h.Read(40*ms, 41*ms, emptied)
			late.Abandon(50 * ms)
		}},
		{"two states of a domain that nobody changes after state was lost", false, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Reset()
			h.Read(30*ms, 31*ms, restored)
			h.Read(40*ms, 41*ms, emptied)
		}},
		{"repeated with its token", true, func(h *DomainHistory) {
			h.Change(0, "z", "a", true).Acknowledge(10 * ms)
			h.Change(20*ms, "z", "b", false).Acknowledge(30 * ms)
			h.Change(40*ms, "z", "a", true).Acknowledge(50 * ms)
			h.Read(60*ms, 61*ms, restored)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h DomainHistory
			c.calls(&h)
			if err := h.Check(); (err == nil) != c.linearizable {
				t.Errorf("linearizable: got %v, want %v; error %v", err == nil, c.linearizable, err)
			}
		})
	}
}

// TestUndecidedHistoryFails checks that a search that exceeds its limit is reported as such and counts as a failure.
func TestUndecidedHistoryFails(t *testing.T) {
	const overlapping, fewCombinations = 24, 1000
	var h DomainHistory
	for i := range time.Duration(overlapping) {
		h.Change(i, "z", string(rune('a'+i)), i%2 == 0).Abandon(0)
	}
	h.Change(0, "z", "first", true).Acknowledge(time.Second)
	h.Read(2*time.Second, 3*time.Second, nil)
	if err := h.checkWithin(fewCombinations); !errors.Is(err, ErrNotDecided) {
		t.Errorf("domains: %v, want ErrNotDecided", err)
	}
	if err := errorOf(porcupine.Unknown, porcupine.LinearizationInfo{}, nil); !errors.Is(err, ErrNotDecided) {
		t.Errorf("configurations: %v, want ErrNotDecided", err)
	}
}

// registerModel is a domain as porcupine's search takes it. A change without a definite reply may have taken effect or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, _ any) []any {
		operation := input.(*DomainOperation)
		switch {
		case operation.read && state != operation.emptied:
			return nil
		case operation.read:
			return []any{state}
		case operation.outcome == open && state != operation.emptied:
			return []any{state, operation.emptied}
		}
		return []any{operation.emptied}
	},
}

// TestSearchOfDomainsAgreesWithPorcupine compares the search with porcupine's on short random histories.
func TestSearchOfDomainsAgreesWithPorcupine(t *testing.T) {
	model, results := registerModel.ToModel(), map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		var h DomainHistory
		at := func(label string, from int) time.Duration {
			return time.Duration(rapid.IntRange(from, from+12).Draw(t, label))
		}
		h.Change(0, "z", "first", rapid.Bool().Draw(t, "first")).Acknowledge(1)
		for i := range rapid.IntRange(1, 9).Draw(t, "calls") {
			sent := at("sent", 2+i)
			ended := at("ended", int(sent)+1)
			emptied := rapid.Bool().Draw(t, "emptied")
			if rapid.Bool().Draw(t, "read") {
				h.Read(sent, ended, map[bool][]string{true: {"z"}}[emptied])
				continue
			}
			change := h.Change(sent, "z", string(rune('a'+i)), emptied)
			switch rapid.IntRange(0, 3).Draw(t, "outcome") {
			case 0:
				change.Abandon(ended)
			case 1:
				change.NoEffect(ended)
			case 2:
				change.Acknowledge(ended)
			}
		}
		operations := h.operations["z"]
		var calls []porcupine.Operation
		for _, o := range operations {
			if o.outcome != noEffect {
				calls = append(calls, porcupine.Operation{ClientId: len(calls), Input: o, Output: o, Call: int64(o.sentAt), Return: lastEffect(o, operations)})
			}
		}
		want, got := porcupine.CheckOperations(model, calls), h.Check() == nil
		if got != want {
			t.Fatalf("linearizable: %v, porcupine says %v:\n%s", got, want, describe(operations))
		}
		results[want]++
	})
	if results[true] == 0 || results[false] == 0 {
		t.Errorf("%d histories were linearizable and %d were not, want some of each", results[true], results[false])
	}
}
