package controlplane

import (
	"encoding/json"
	"myrtlefold/internal/shared/targetreport"
	"testing"

	"myrtlefold/internal/shared/wire"
)

// acknowledgementMax is the largest answer that targets of the users' platform take as an
// acknowledgement, in bytes.
const acknowledgementMax = 4 << 10

// What a target is acknowledged with is small, and names no address for later heartbeats:
// each member takes them, so there is none to prefer.
func TestAcknowledgementsAreSmall(t *testing.T) {
	for _, state := range []wire.TargetState{wire.TargetReady, wire.TargetWarming, wire.TargetLeaving, wire.TargetGone} {
		r := targetreport.Acknowledgement(wire.Target{State: state})
		var fields map[string]any
		if err := json.Unmarshal(r.Body, &fields); err != nil {
			t.Fatal(err)
		}
		if len(r.Body) > acknowledgementMax || r.Status/100 != 2 || fields["beat_at"] != nil {
			t.Errorf("%s: %d, %d bytes, %v", state, r.Status, len(r.Body), fields)
		}
	}
}
