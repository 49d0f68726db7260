package outlier

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Event is one observation of a target. Only the fields of its slice are set, after those of its identity.
type Event struct {
	At          time.Duration `json:"at_ns"` // by the clock of whoever recorded it
	Slice       config.Slice  `json:"slice"`
	Service     string        `json:"service"`
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	// Success: a health check was answered; a heartbeat arrived, else none did for a while.
	Success bool `json:"ok,omitempty"`
	// Milliseconds: of a health check its response time; of a missing heartbeat the time since the last
	// one; of requests the response times of all Count together.
	Milliseconds float64          `json:"ms,omitempty"`
	State        wire.TargetState `json:"state,omitempty"`  // of a heartbeat
	Count        int              `json:"count,omitempty"`  // requests that ended
	Errors       int              `json:"errors,omitempty"` // requests of Count that failed
	Slow         int              `json:"slow,omitempty"`   // requests of Count that were slow
	Demand       float64          `json:"demand,omitempty"` // reported load, 0 and more; 1: as much as the target bears
}

// ID returns the identity of the target.
func (e *Event) ID() wire.TargetID {
	return wire.TargetID{Service: e.Service, Name: e.Name, Incarnation: e.Incarnation}
}

// Kinds of decisions that end one. Those that begin one are config.DecideEject and config.DecideDrain.
const (
	KindClear config.DecisionKind = "clear" // the clear condition is met
	KindLapse config.DecisionKind = "lapse" // the time to live is over
)

// Decision is the begin or end of a policy's decision on a target.
type Decision struct {
	At          time.Duration       `json:"at_ns"` // of the event or tick that led to it
	Policy      string              `json:"policy"`
	Kind        config.DecisionKind `json:"kind"` // config.DecideEject, config.DecideDrain, KindClear or KindLapse
	Service     string              `json:"service"`
	Name        string              `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	TTLMs       int64               `json:"ttl_ms,omitempty"` // of an ejection, in ms
	Shadow      bool                `json:"shadow,omitempty"` // of a shadow policy: it has no effect
	Reason      string              `json:"why,omitempty"`    // for people: the condition that was met
}

// milliseconds returns d in the unit of conditions and scores.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
