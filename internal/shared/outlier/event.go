package outlier

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Event is one observation of a target. Apart from time and identity, only the fields of its signal are set.
type Event struct {
	At          time.Duration `json:"at_ns"` // on the recorder's clock, in ns
	Signal      config.Signal `json:"slice"`
	Service     string        `json:"service"`
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	// Success is true if a health check was answered or a heartbeat arrived, false if the check was missed
	// or the heartbeat is overdue.
	Success bool `json:"ok,omitempty"`
	// Milliseconds is the response time of a health check, the time since the last heartbeat if one is
	// overdue, or the sum of the response times of all Count requests, in ms.
	Milliseconds float64          `json:"ms,omitempty"`
	State        wire.TargetState `json:"state,omitempty"`  // target state in a heartbeat
	Count        int              `json:"count,omitempty"`  // completed requests
	Errors       int              `json:"errors,omitempty"` // failed requests among Count
	Slow         int              `json:"slow,omitempty"`   // slow requests among Count
	Demand       float64          `json:"demand,omitempty"` // reported load, 0 or more; 1 is the target's full capacity
}

// ID returns the identity of the target.
func (e *Event) ID() wire.TargetID {
	return wire.TargetID{Service: e.Service, Name: e.Name, Incarnation: e.Incarnation}
}

// Kinds of a Decision that ends an ejection or draining. The kinds of a Decision that begins one are
// config.DecideEject and config.DecideDrain.
const (
	KindClear config.DecisionKind = "clear" // the clear condition was met
	KindLapse config.DecisionKind = "lapse" // the time to live expired
)

// Decision is the beginning or the end of an ejection or of draining of a target by a policy.
type Decision struct {
	At          time.Duration       `json:"at_ns"` // time of the event or tick that caused it, in ns
	Policy      string              `json:"policy"`
	Kind        config.DecisionKind `json:"kind"` // config.DecideEject, config.DecideDrain, KindClear or KindLapse
	Service     string              `json:"service"`
	Name        string              `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	TTLMs       int64               `json:"ttl_ms,omitempty"` // time to live of an ejection, in ms, else 0
	Shadow      bool                `json:"shadow,omitempty"` // made by a shadow policy and without effect
	Reason      string              `json:"why,omitempty"`    // human-readable: the condition that was met or why the earlier decision ended
}

// milliseconds converts d to milliseconds, the unit of conditions and scores.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
