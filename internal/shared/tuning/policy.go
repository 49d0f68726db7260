package tuning

import "time"

// Policies of the outlier detector, and the events that they evaluate.
const (
	// PoliciesMax is the maximum number of policies in force.
	PoliciesMax = 16
	// PolicyWindow is the number of a target's latest events that a condition evaluates at most.
	PolicyWindow = 32
	// PolicyNodes bounds the size of a condition, in nodes of its syntax tree.
	PolicyNodes = 200
	// PolicyMemory is the memory budget of one evaluation of a condition, in units of package expr's virtual machine.
	PolicyMemory = 10000
	// EjectionMaxTTL is the longest time to live that a policy may give an ejection.
	EjectionMaxTTL = 10 * time.Minute
	// StatsEvery is how often the proxies' observations of a target are combined into one event. PolicyWindow of these
	// events cover RetryWindow.
	StatsEvery = 500 * time.Millisecond
	// EventsKept is the minimum number of latest events that a leader keeps for readers that resume the event stream.
	// It keeps at most about twice as many.
	EventsKept = 4096
	// StreamBuffer is how many lines are buffered for a slow reader of the stream before it misses some.
	StreamBuffer = 512
)

// Policy sessions, which evaluate policies on a caller's stream.
const (
	// SessionLineMax bounds a line, in bytes.
	SessionLineMax = 256 << 10
	// SessionTargetsMax is the maximum number of targets in one session.
	SessionTargetsMax = 4096
	// SessionsMax is the maximum number of concurrent sessions in a daemon.
	SessionsMax = 16
	// SessionResumeWindow is how long a session can be resumed after its connection ended.
	SessionResumeWindow = 2 * time.Minute
)
