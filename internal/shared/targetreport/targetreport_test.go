package targetreport

import (
	"encoding/json"
	"testing"

	"myrtlefold/internal/shared/wire"
)

// acknowledgementMax is the largest response, in bytes, that targets on the users' platform accept as an
// acknowledgement.
const acknowledgementMax = 4 << 10

// An acknowledgement is small and contains no address for later heartbeats: every member accepts them, so no address is
// preferable.
func TestAcknowledgementsAreSmall(t *testing.T) {
	for _, state := range []wire.TargetState{wire.TargetReady, wire.TargetWarming, wire.TargetLeaving, wire.TargetGone} {
		t.Run(string(state), func(t *testing.T) {
			response := Acknowledgement(wire.Target{State: state})
			var fields map[string]any
			if err := json.Unmarshal(response.Body, &fields); err != nil {
				t.Fatal(err)
			}
			if len(response.Body) > acknowledgementMax || response.Status/100 != 2 || fields["beat_at"] != nil {
				t.Errorf("status %d, %d bytes, fields %v, want a 2xx status, at most %d bytes and no beat_at", response.Status, len(response.Body), fields, acknowledgementMax)
			}
		})
	}
}
