package tuning

import "time"

// How much is sent to targets, and to which.
const (
	// SlowStart is over what time a target's cap grows from that of warming up to the full one.
	SlowStart = 3 * time.Second
	// TargetFullBackoff is how long a target that rejected a request as full gets none: less than a usual
	// request takes, one of which ends meanwhile.
	TargetFullBackoff = 70 * time.Millisecond
	// LoadTTL is for how long the load that a target reported counts, less and less.
	LoadTTL = time.Second
	// SpeedTTL is for how long a target's observed speed counts, less and less, so that a slow target is tried again.
	SpeedTTL = 20 * time.Second
	// SpeedWeight is the weight of one response in a target's speed; that of the first ones is more. Response
	// times vary as much as speeds.
	SpeedWeight = 0.1
	// SpeedPenalty is the weight of a target's slowness beside its load, and SpeedPenaltyMax the most that it
	// adds: a target with a free slot is as fast as an empty one.
	SpeedPenalty    = 1.0
	SpeedPenaltyMax = 1.5
	// OpenConnBonus is how much less load a target counts as having if a connection to it is likely to be open.
	OpenConnBonus = 0.1
	// ResponseTimeWeight is the weight of one response in the mean response time of its route or service, once
	// there were a few.
	ResponseTimeWeight = 0.05
	// QuotaOvercommit and QuotaExtra bound a proxy's requests at a service's targets in any case, so that queues
	// there stay short: so many times its even quota of the slots, and so many requests more.
	QuotaOvercommit = 1.5
	QuotaExtra      = 1
	// QuotaOvercommitMax is what the first of them grows to while no target says that it is full.
	QuotaOvercommitMax = 3
	// QuotaBackoffFactor is what that window is multiplied by when a target says that it is full.
	QuotaBackoffFactor = 0.8
)

// Queues, and load shedding by priority.
const (
	// QueueMin is how many requests may be queued for a service in any case.
	QueueMin = 2
	// WaitTargetParts is the divisor of a route's latency target that gives how long a request may be queued:
	// later, a rejection is late. Of a route without one, WaitTimeoutParts is the divisor of the deadline that
	// takes the latency target's place.
	WaitTargetParts  = 4
	WaitTimeoutParts = 4
	// PressureTTL is for how long after a sign of it a service is under pressure.
	PressureTTL = time.Second
	// PriorityLevels is how many levels of priority are distinguished.
	PriorityLevels = 4
	// PriorityReserve is the part of the window that each level leaves to the levels above it while the service is
	// under pressure.
	PriorityReserve = 0.1
	// FairSpan is the span in which a service's requests are counted by priority: long beside a burst.
	FairSpan = 5 * time.Second
	// FairPart is the part of the service's average rate of forwarded requests that each level is kept at: over a
	// quarter, under which it would count as starved.
	FairPart = 0.4
	// FairLeast is how many requests of a level must have come for that.
	FairLeast = 4
)

// Retry-After of rejections.
const (
	// RetryAfterMin and RetryAfterSpan are the range of Retry-After, spread by request, where nothing better
	// is known.
	RetryAfterMin  = time.Second
	RetryAfterSpan = 3 * time.Second
	// RetryAfterFloor is the least Retry-After.
	RetryAfterFloor = 20 * time.Millisecond
	// RetryAfterTimeParts is the divisor of the caller's time left that gives the longest one.
	RetryAfterTimeParts = 3
)
