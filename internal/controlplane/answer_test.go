package controlplane

import (
	"encoding/json"
	"testing"
)

// The keys of response bodies must stay in alphabetical order, in which clients have always received them.
func TestResponseKeysAreSorted(t *testing.T) {
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
		sorted, err := json.Marshal(fields) // json.Marshal sorts the keys of a map
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != string(sorted) {
			t.Errorf("JSON of %T is %s, want its keys sorted: %s", answer, text, sorted)
		}
	}
}
