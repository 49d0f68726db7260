package tuning

import "time"

// Policies of the outlier detector, and what is recorded for them.
const (
	// PoliciesMax is how many policies may be in force.
	PoliciesMax = 16
	// PolicyWindow is how many samples a policy's condition sees at most.
	PolicyWindow = 32
	// PolicyNodes bounds the size of a condition, in nodes of its syntax tree.
	PolicyNodes = 200
	// PolicyMemory bounds what one evaluation of a condition may allocate, in units of package expr's virtual
	// machine.
	PolicyMemory = 10000
	// EjectionMaxTTL is the longest ejection that a policy may make.
	EjectionMaxTTL = 10 * time.Minute
	// StatsEvery is how often what proxies observed of a target becomes one event: PolicyWindow of them reach
	// back over RetryWindow.
	StatsEvery = 500 * time.Millisecond
	// EventsKept is how many events a leader keeps for readers of the stream that resume.
	EventsKept = 4096
	// StreamBuffer is how many lines wait for a slow reader of the stream before it misses some.
	StreamBuffer = 512
)

// Policy sessions, which evaluate policies on a caller's stream.
const (
	// SessionLineMax bounds a line, in bytes.
	SessionLineMax = 256 << 10
	// SessionTargets bounds the targets of one session.
	SessionTargets = 4096
	// Sessions is how many sessions a daemon has at once.
	Sessions = 16
	// SessionKept is for how long a session whose connection ended can be resumed.
	SessionKept = 2 * time.Minute
)
