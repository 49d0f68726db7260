// This file reads the heartbeats of back ends.

package config

import (
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// IdentityPath is the HTTP path at which a back end answers with its Beat.
const IdentityPath = "/.myrtlefold/identity"

// TargetReport is what a back end says of itself, in heartbeats and at IdentityPath.
type TargetReport struct {
	Service     string           `json:"service"`
	Name        string           `json:"name"`
	Incarnation uint64           `json:"incarnation"`
	Address     string           `json:"address,omitempty"`
	Domain      string           `json:"domain,omitempty"`
	State       wire.TargetState `json:"state"`
	Demand      *float64         `json:"demand,omitempty"`
	// Slots are the requests that it works on at once, 0: not said. ColdLeftMs is how much longer
	// it takes only its service's cold rate. Number rises with each heartbeat, 0: not numbered.
	Slots        int64  `json:"slots,omitempty"`
	WarmupLeftMs int64  `json:"cold_left_ms,omitempty"`
	Number       uint64 `json:"number,omitempty"`
}

// ID returns the identity of the back end.
func (b *TargetReport) ID() wire.TargetID {
	return wire.TargetID{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation}
}

// Target checks a heartbeat and returns it in the form that daemons exchange, or its faults by field.
func (b *TargetReport) Target() (wire.Target, []Fault) {
	c := &checker{}
	c.name("service", b.Service)
	c.name("name", b.Name)
	if b.Incarnation == 0 {
		c.add("incarnation", "must be over 0 and grow with each start")
	}
	if ap, err := netip.ParseAddrPort(b.Address); err != nil || ap.Port() == 0 {
		c.add("address", "must be IP:port")
	}
	if !slices.Contains([]wire.TargetState{wire.TargetWarming, wire.TargetReady, wire.TargetLeaving, wire.TargetGone}, b.State) {
		c.add("state", "warming, ready, leaving or gone, not %q", b.State)
	}
	if len(b.Domain) > tuning.DomainNameMax {
		c.add("domain", "at most %d bytes", tuning.DomainNameMax)
	}
	if b.Slots < 0 || b.Slots > tuning.SlotsMax {
		c.add("slots", "%d is not between 0 and %d", b.Slots, tuning.SlotsMax)
	}
	if most := tuning.WarmupMax.Milliseconds(); b.WarmupLeftMs < 0 || b.WarmupLeftMs > most {
		c.add("cold_left_ms", "%d is not between 0 and %d", b.WarmupLeftMs, most)
	}
	t := wire.Target{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation, Addr: b.Address, Domain: b.Domain, State: b.State,
		Slots: uint32(b.Slots), WarmupLeft: b.WarmupLeftMs * int64(time.Millisecond), Number: b.Number}
	if b.Demand != nil {
		if *b.Demand < 0 || math.IsNaN(*b.Demand) || math.IsInf(*b.Demand, 0) {
			c.add("demand", "must be 0 or more")
		}
		t.Demand, t.HasDemand = *b.Demand, true
	}
	return t, c.faults
}

// ParseTargetReport reads a heartbeat's body and checks it; unknown fields are ignored.
func ParseTargetReport(body []byte) (wire.Target, []Fault) {
	b, faults := readBeat(body, TargetReport{})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	return b.Target()
}

// ParseNamedTargetReport reads the body of a heartbeat whose name stands in the path of its call. Names in
// this form are used for one start only, so no incarnation is needed.
func ParseNamedTargetReport(name string, body []byte) (wire.Target, []Fault) {
	b, faults := readBeat(body, TargetReport{Incarnation: 1})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	b.Name = name
	return b.Target()
}

func readBeat(body []byte, b TargetReport) (TargetReport, []Fault) {
	if err := json.Unmarshal(body, &b); err != nil {
		at := ""
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			at = te.Field
		}
		return b, []Fault{{at, err.Error()}}
	}
	return b, nil
}
