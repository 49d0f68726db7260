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

// IdentityPath is the HTTP path at which a target responds to an identity request with its TargetReport.
const IdentityPath = "/.myrtlefold/identity"

// TargetReport is what a target reports of itself, in heartbeats and at IdentityPath.
type TargetReport struct {
	// Service and Name identify the target; Incarnation rises with each of its starts.
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP:port at which the target takes requests.
	Address string `json:"address,omitempty"`
	// Domain is its failure domain. Default: "", not known.
	Domain string `json:"domain,omitempty"`
	// State is its state; "" at IdentityPath: not reported.
	State wire.TargetState `json:"state"`
	// Demand is its load, 0 and more; 1 is as much as it bears. Default: nil, not reported.
	Demand *float64 `json:"demand,omitempty"`
	// Slots is how many requests it runs at once. Default: 0, not reported.
	Slots int64 `json:"slots,omitempty"`
	// WarmupLeftMs is for how much longer it takes only its service's warm-up rate, in ms. Default: 0.
	WarmupLeftMs int64 `json:"cold_left_ms,omitempty"`
	// Number rises with each heartbeat. Default: 0, not numbered.
	Number uint64 `json:"number,omitempty"`
}

// ID returns the identity of the target.
func (r *TargetReport) ID() wire.TargetID {
	return wire.TargetID{Service: r.Service, Name: r.Name, Incarnation: r.Incarnation}
}

// ParseTargetReport reads the body of a heartbeat and checks it; unknown fields are ignored. It returns
// the target as daemons exchange it, or the report's faults by its fields.
func ParseTargetReport(body []byte) (wire.Target, []Fault) {
	r, faults := unmarshalReport(body, TargetReport{})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	return r.Target()
}

// ParseNamedTargetReport reads the body of a heartbeat whose name is in the path of its call. Such a name
// is used for one start only, so no incarnation is needed.
func ParseNamedTargetReport(name string, body []byte) (wire.Target, []Fault) {
	r, faults := unmarshalReport(body, TargetReport{Incarnation: 1})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	r.Name = name
	return r.Target()
}

// unmarshalReport reads a report over the values that it has by default.
func unmarshalReport(body []byte, r TargetReport) (TargetReport, []Fault) {
	err := json.Unmarshal(body, &r)
	if err == nil {
		return r, nil
	}
	path := ""
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		path = typeError.Field
	}
	return r, []Fault{{Path: path, Text: err.Error()}}
}

// Target checks the report and returns it as daemons exchange it, or its faults by its fields.
func (r *TargetReport) Target() (wire.Target, []Fault) {
	check := &checker{}
	check.checkTargetReport(r)
	t := wire.Target{
		Service:     r.Service,
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Addr:        r.Address,
		Domain:      r.Domain,
		State:       r.State,
		Slots:       uint32(r.Slots),
		WarmupLeft:  r.WarmupLeftMs * int64(time.Millisecond),
		Number:      r.Number,
	}
	if r.Demand != nil {
		t.Demand, t.HasDemand = *r.Demand, true
	}
	return t, check.faults
}

func (c *checker) checkTargetReport(report *TargetReport) {
	c.checkName("service", report.Service)
	c.checkName("name", report.Name)
	if report.Incarnation == 0 {
		c.add("incarnation", "must be over 0 and grow with each start")
	}
	if address, err := netip.ParseAddrPort(report.Address); err != nil || address.Port() == 0 {
		c.add("address", "must be IP:port")
	}
	states := []wire.TargetState{wire.TargetWarming, wire.TargetReady, wire.TargetLeaving, wire.TargetGone}
	if !slices.Contains(states, report.State) {
		c.add("state", "warming, ready, leaving or gone, not %q", report.State)
	}
	if len(report.Domain) > tuning.DomainNameMax {
		c.add("domain", "at most %d bytes", tuning.DomainNameMax)
	}
	if report.Slots < 0 || report.Slots > tuning.SlotsMax {
		c.add("slots", "%d is not between 0 and %d", report.Slots, tuning.SlotsMax)
	}
	if longest := tuning.WarmupMax.Milliseconds(); report.WarmupLeftMs < 0 || report.WarmupLeftMs > longest {
		c.add("cold_left_ms", "%d is not between 0 and %d", report.WarmupLeftMs, longest)
	}
	if d := report.Demand; d != nil && (*d < 0 || math.IsNaN(*d) || math.IsInf(*d, 0)) {
		c.add("demand", "must be 0 or more")
	}
}
