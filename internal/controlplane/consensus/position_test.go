package consensus

import "testing"

// TestPositionsOfAnEarlierReleaseAreRead checks that a position without the last entry is read, and nothing else.
func TestPositionsOfAnEarlierReleaseAreRead(t *testing.T) {
	for text, want := range map[string]Position{
		"3.17":     {Epoch: 3, Committed: 17},
		"3.17.4.9": {3, 17, 4, 9},
	} {
		if position, err := ParsePosition(text); err != nil || position != want {
			t.Errorf("%q: %v, %v; want %v", text, position, err, want)
		}
	}
	for _, text := range []string{"", "3", "3.x", "x", "3.17.", "3.17.4", "-1.5", "3.99999999999999999999999"} {
		if position, err := ParsePosition(text); err == nil {
			t.Errorf("%q: %v, want an error", text, position)
		}
	}
}
