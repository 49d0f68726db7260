package wire

import "cmp"

// TargetState is a target's lifecycle state, as it reports it. The string values are part of the wire
// format, stored data, targets' reports and policy conditions.
type TargetState string

// States of a target, in the only order in which they can follow each other.
const (
	TargetWarming TargetState = "warming" // started; gets few requests
	TargetReady   TargetState = "ready"   // gets requests
	TargetLeaving TargetState = "leaving" // draining: finishes its requests and gets no new ones
	TargetGone    TargetState = "gone"    // has ended
)

// Target is a back end, as described in messages between daemons. Service, Name and Incarnation form its
// identity. Draining, EjectionLeft, EjectedBy, Pending, Heartbeating and ShareOffset are set by the leader
// and present only in tables; the other fields are reported by the target.
type Target struct {
	Service      string      `json:"service"`
	Name         string      `json:"name"`
	Incarnation  uint64      `json:"incarnation"`      // increases with each start of the target
	Addr         string      `json:"address"`          // IP:port of the target
	Domain       string      `json:"domain,omitempty"` // failure domain (zone)
	State        TargetState `json:"state"`
	Demand       float64     `json:"demand,omitempty"`       // load reported by the target, from 0; 1: at capacity
	HasDemand    bool        `json:"-"`                      // whether Demand is set
	Draining     bool        `json:"held"`                   // gets no new requests until a policy clears it
	EjectionLeft int64       `json:"bar_left_ns,omitempty"`  // remaining time of its ejection, in ns; 0: not ejected
	EjectedBy    string      `json:"bar_why,omitempty"`      // name of the policy that ejected it
	Pending      bool        `json:"pending,omitempty"`      // gets no requests until its identity is confirmed
	Heartbeating bool        `json:"beating"`                // its heartbeats arrive
	ShareOffset  uint32      `json:"-"`                      // serial number within its service, used to split caps among proxies
	Slots        uint32      `json:"slots,omitempty"`        // number of requests it runs concurrently; 0: not reported
	WarmupLeft   int64       `json:"cold_left_ns,omitempty"` // remaining time of its limit to the service's warm-up rate, in ns
	Number       uint64      `json:"number,omitempty"`       // increasing sequence number of its report; 0: not numbered
}

// ID returns the target's identity.
func (t *Target) ID() TargetID { return TargetID{t.Service, t.Name, t.Incarnation} }

// TargetID is the identity of a target. A restarted target has the same name and a higher incarnation.
type TargetID struct {
	Service     string
	Name        string // unique within the service
	Incarnation uint64
}

// Compare orders identities. State machines use this order to iterate over targets deterministically.
func (a TargetID) Compare(b TargetID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// TargetStats holds the statistics of one target that one proxy collected since its previous report.
type TargetStats struct {
	Service       string
	Name          string
	Incarnation   uint64
	Successes     uint32  // requests with a complete response with a status below 500
	Errors        uint32  // failed requests: no connection, a mismatched identity, an incomplete response, or a status of 500 or above
	TotalMs       float64 // sum of all response times, in ms
	Demand        float64 // last demand that the target reported with a response
	HasDemand     bool    // whether Demand is set
	Slow          uint32  // responses that took longer than the service's slow_ms
	Rejected      uint32  // requests that the target rejected and confirmed as not run
	ProbeAnswered bool    // the target responded to an indirect probe with its identity
}
