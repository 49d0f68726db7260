package tuning

import "time"

// Load balancing among targets.
const (
	// SlowStart is the time over which a target's cap grows from its warm-up cap to the full one.
	SlowStart = 3 * time.Second
	// TargetFullBackoff is how long a target that rejected a request as full gets no requests. A typical request takes
	// longer, so one usually ends in the meantime.
	TargetFullBackoff = 70 * time.Millisecond
	// LoadTTL is the time over which the influence of a load reported by a target decays to nothing.
	LoadTTL = time.Second
	// SpeedTTL is the time over which the influence of a target's observed speed decays to nothing, so that a slow
	// target is tried again.
	SpeedTTL = 20 * time.Second
	// SpeedWeight is the weight of one response in the average speed of a target; the first responses weigh more. It
	// is small since response times vary as much as speeds do.
	SpeedWeight = 0.1
	// SpeedPenalty is the weight of a target's slowness relative to its load, and SpeedPenaltyMax the maximum that it
	// adds. A target with a free slot processes a request as fast as an idle one.
	SpeedPenalty    = 1.0
	SpeedPenaltyMax = 1.5
	// OpenConnBonus is subtracted from the load of a target to which an open connection is likely to exist.
	OpenConnBonus = 0.1
	// ResponseTimeWeight is the weight of one response in the mean response time of its route or service, once there
	// have been a few.
	ResponseTimeWeight = 0.05
	// QuotaOvercommit and QuotaExtra give the minimum of the window that bounds a proxy's requests in flight to a
	// service, so that queues at its targets stay short: QuotaOvercommit times the proxy's equal part of the targets' slots,
	// plus QuotaExtra requests.
	QuotaOvercommit = 1.5
	QuotaExtra      = 1
	// QuotaOvercommitMax takes the place of QuotaOvercommit in the maximum of the window, to which it grows while no
	// target reports that it is full.
	QuotaOvercommitMax = 3
	// QuotaBackoffFactor is the factor by which the window shrinks when a target reports that it is full.
	QuotaBackoffFactor = 0.8
)

// Queues, and load shedding by priority.
const (
	// QueueMin is the number of requests that may always be queued for a service.
	QueueMin = 2
	// QueueTimeoutDivisor is the divisor of a route's latency target that gives the time limit in the queue. A rejection
	// after a longer wait would come too late. For a route without a latency target, the deadline divided by
	// ExpectedTimeDivisor is used as the latency target.
	QueueTimeoutDivisor = 4
	ExpectedTimeDivisor = 4
	// PressureTTL is how long a service counts as under pressure after a sign of overload.
	PressureTTL = time.Second
	// PriorityLevels is the number of distinct priority levels.
	PriorityLevels = 4
	// PriorityReserve is the part of the window that each level leaves to each higher level with requests while the
	// service is under pressure.
	PriorityReserve = 0.1
	// FairnessWindow is the period in which a service's requests are counted by priority. It is long compared to a burst.
	FairnessWindow = 5 * time.Second
	// FairnessMinRatio is the fraction of the service's ratio of forwarded to arrived requests that is guaranteed to each
	// level. It is above a quarter, below which a level would count as starved.
	FairnessMinRatio = 0.4
	// FairnessMinRequests is how many requests of a level must have arrived in a FairnessWindow for this guarantee.
	FairnessMinRequests = 4
)

// Retry-After of rejections.
const (
	// RetryAfterMin and RetryAfterSpan are the minimum and the range of Retry-After where no better estimate exists.
	// The values are spread by request.
	RetryAfterMin  = time.Second
	RetryAfterSpan = 3 * time.Second
	// RetryAfterFloor is the smallest Retry-After.
	RetryAfterFloor = 20 * time.Millisecond
	// RetryAfterDivisor is the divisor of the caller's remaining time that gives the largest Retry-After.
	RetryAfterDivisor = 3
)
