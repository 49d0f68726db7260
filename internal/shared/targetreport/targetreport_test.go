package targetreport

import (
	"encoding/json"
	"testing"

	"myrtlefold/internal/shared/wire"
)

// acknowledgementMax is the largest answer that targets of the users' platform take as an acknowledgement, in bytes.
const acknowledgementMax = 4 << 10

// An acknowledgement is small, and names no address for later heartbeats: each member takes them, so there is none
// to prefer.
func TestAcknowledgementsAreSmall(t *testing.T) {
	for _, state := range []wire.TargetState{wire.TargetReady, wire.TargetWarming, wire.TargetLeaving, wire.TargetGone} {
		t.Run(string(state), func(t *testing.T) {
			answer := Acknowledgement(wire.Target{State: state})
			var fields map[string]any
			if err := json.Unmarshal(answer.Body, &fields); err != nil {
				t.Fatal(err)
			}
			if len(answer.Body) > acknowledgementMax || answer.Status/100 != 2 || fields["beat_at"] != nil {
				t.Errorf("%d, %d bytes, %v", answer.Status, len(answer.Body), fields)
			}
		})
	}
}
