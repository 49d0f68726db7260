package wire

import "cmp"

// TargetState is a target's own state. The texts stand on the wire, in stored data, in targets'
// reports and in policies' conditions.
type TargetState string

// States of a target, in the only order in which they follow each other.
const (
	TargetWarming TargetState = "warming" // started, and takes few requests
	TargetReady   TargetState = "ready"   // takes requests
	TargetLeaving TargetState = "leaving" // draining: finishes its requests and takes no new ones
	TargetGone    TargetState = "gone"    // has ended
)

// Target is a back end as daemons describe it to each other. Service, Name and Incarnation are its
// identity. Draining, EjectionLeft, EjectedBy, Pending, Heartbeating and ShareOffset are the leader's
// decisions and travel in tables only; the rest is what the target reports of itself.
type Target struct {
	Service      string      `json:"service"`
	Name         string      `json:"name"`
	Incarnation  uint64      `json:"incarnation"` // rises with each start of the target
	Addr         string      `json:"address"`     // IP:port
	Domain       string      `json:"domain,omitempty"`
	State        TargetState `json:"state"`
	Demand       float64     `json:"demand,omitempty"`       // its load, 0 and more; 1: as much as it bears
	HasDemand    bool        `json:"-"`                      // whether Demand is set
	Draining     bool        `json:"held"`                   // gets no new requests until a policy clears it
	EjectionLeft int64       `json:"bar_left_ns,omitempty"`  // time left of its ejection, in ns
	EjectedBy    string      `json:"bar_why,omitempty"`      // policy that ejected it
	Pending      bool        `json:"pending,omitempty"`      // gets no requests until its identity is confirmed
	Heartbeating bool        `json:"beating"`                // its heartbeats arrive
	ShareOffset  uint32      `json:"-"`                      // offset among its service's targets where caps are split among proxies
	Slots        uint32      `json:"slots,omitempty"`        // requests that it runs at once, 0: not reported
	WarmupLeft   int64       `json:"cold_left_ns,omitempty"` // time for which it is still limited to its service's warm-up rate, in ns
	Number       uint64      `json:"number,omitempty"`       // number of its heartbeat, rising; 0: not numbered
}

// ID returns the target's identity.
func (t *Target) ID() TargetID { return TargetID{t.Service, t.Name, t.Incarnation} }

// TargetID is a target's identity. A restarted target has the same name and a higher incarnation.
type TargetID struct {
	Service     string
	Name        string // unique in the service
	Incarnation uint64
}

// Compare orders identities, so that state machines go through targets in the same order in every run.
func (a TargetID) Compare(b TargetID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// TargetStats is what one proxy observed of one target since its last report.
type TargetStats struct {
	Service       string
	Name          string
	Incarnation   uint64
	Successes     uint32  // requests with a complete response below 500
	Errors        uint32  // failed requests: no connection, the wrong identity, no complete response, or one of 500 and above
	TotalMs       float64 // response times of all requests together, in ms
	Demand        float64 // latest demand that the target reported with a response
	HasDemand     bool    // whether Demand is set
	Slow          uint32  // responses slower than the service's slow_ms
	Rejected      uint32  // requests that the target rejected, saying that it did not run them
	ProbeAnswered bool    // the target answered an indirect probe with its identity
}
