package explore

import "testing"

// The states of a scenario that are explored with every run of the tests.
const statesInTests = 20000

func TestSearch(t *testing.T) {
	for i := range Scenarios {
		s := &Scenarios[i]
		t.Run(s.Name, func(t *testing.T) {
			r := Search(s, Limits{States: statesInTests, Depth: 1000, Workers: 2})
			t.Log(r)
			if r.Broken != "" {
				t.Error(r)
			}
		})
	}
}
