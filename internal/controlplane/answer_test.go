package controlplane

import (
	"encoding/json"
	"testing"
)

// The keys of answers stand in alphabetical order, as clients have always got them.
func TestAnswersKeepTheOrderOfTheirKeys(t *testing.T) {
	for _, answer := range []any{
		acceptedAnswer{}, configAnswer{}, historyAnswer{}, daemonsAnswer{}, targetsAnswer{}, policiesAnswer{}, domainsAnswer{}, diffAnswer{},
		recoveryAnswer{}, emptyRecoveryAnswer{},
	} {
		text, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil {
			t.Fatal(err)
		}
		sorted, err := json.Marshal(fields) // a map's keys are sorted
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != string(sorted) {
			t.Errorf("%T: %s, want %s", answer, text, sorted)
		}
	}
}
