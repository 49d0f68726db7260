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

// IdentityPath is the HTTP path of the identity request, to which a target responds with its TargetReport.
const IdentityPath = "/.myrtlefold/identity"

// TargetReport is a target's report about itself, in heartbeats and at IdentityPath.
type TargetReport struct {
	// Service and Name identify the target. Incarnation increases with each start of the target.
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address is the IP:port at which the target accepts requests.
	Address string `json:"address,omitempty"`
	// Domain is the target's failure domain. Default: "", unknown.
	Domain string `json:"domain,omitempty"`
	// State is the target's state. It may be "", not reported, at IdentityPath only.
	State wire.TargetState `json:"state"`
	// Demand is the target's load, 0 or more; 1 is its full capacity. Default: nil, not reported.
	Demand *float64 `json:"demand,omitempty"`
	// Slots is the number of requests that the target processes concurrently. Default: 0, not reported.
	Slots int64 `json:"slots,omitempty"`
	// WarmupLeftMs is the remaining time in ms during which the target accepts requests only at the warm-up rate of
	// its service. Default: 0, no such time.
	WarmupLeftMs int64 `json:"cold_left_ms,omitempty"`
	// Number increases with each heartbeat. Default: 0, not numbered.
	Number uint64 `json:"number,omitempty"`
}

// ID returns the identity of the target.
func (r *TargetReport) ID() wire.TargetID {
	return wire.TargetID{Service: r.Service, Name: r.Name, Incarnation: r.Incarnation}
}

// ParseTargetReport parses and validates the body of a heartbeat. Unknown fields are ignored. It returns the target in
// the form that daemons exchange, or the faults of the report.
func ParseTargetReport(body []byte) (wire.Target, []Fault) {
	r, faults := unmarshalReport(body, TargetReport{})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	return r.Target()
}

// ParseNamedTargetReport parses and validates the body of a heartbeat with the target's name in the path of the call.
// A target that uses this call has a new name after each of its starts, so the incarnation may be missing. Default: 1.
func ParseNamedTargetReport(name string, body []byte) (wire.Target, []Fault) {
	r, faults := unmarshalReport(body, TargetReport{Incarnation: 1})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	r.Name = name
	return r.Target()
}

// unmarshalReport decodes a report into r, which holds the defaults, and returns it.
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

// Target validates the report and returns the target in the form that daemons exchange, and the report's faults.
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
		c.add("incarnation", "must be greater than 0 and increase with each start")
	}
	if address, err := netip.ParseAddrPort(report.Address); err != nil || address.Port() == 0 {
		c.add("address", "must be IP:port")
	}
	states := []wire.TargetState{wire.TargetWarming, wire.TargetReady, wire.TargetLeaving, wire.TargetGone}
	if !slices.Contains(states, report.State) {
		c.add("state", "must be warming, ready, leaving or gone, not %q", report.State)
	}
	if len(report.Domain) > tuning.DomainNameMax {
		c.add("domain", "must have at most %d bytes", tuning.DomainNameMax)
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
