package tuning

// Bounds of the values that a configuration may hold. They are far over any real one, and refuse
// what can only be a slip.
const (
	// CapMax bounds a service's caps, in requests, and InFlightMax those in flight at a proxy.
	CapMax      = 100000
	InFlightMax = 1000000
	// TimeoutMinMs is a service's least deadline in ms: under it nothing is answered in time.
	TimeoutMinMs = 10
	// QueueTimeoutMaxMs and WaitLenMax bound a service's queue: how long, in ms, and how many requests.
	QueueTimeoutMaxMs = 60000
	QueueLengthMax    = 10000
	// ServiceBodyMax bounds a service's bound of bodies, LimitsBodyMax and LimitsHeaderMax those
	// for all callers, in bytes.
	ServiceBodyMax  = 1 << 30
	LimitsBodyMax   = 1 << 40
	LimitsHeaderMax = 1 << 20
	// ServiceAttemptsMax and AttemptsMax bound how often a request may be sent, by services and routes.
	ServiceAttemptsMax = 10
	RouteAttemptsMax   = 100
	// PriorityMax is the lowest priority of a route; 0 is the highest.
	PriorityMax = 1000
	// ConnCapMax bounds the connections that a target takes.
	ConnCapMax = 1000000
	// WarmupRateMax bounds a cold target's rate, in requests a second.
	WarmupRateMax = 1e6
	// ItemNameMax bounds the name of a service, policy, aim or route, in bytes.
	ItemNameMax = 64
	// ExactMax is up to where JSON numbers are whole numbers without loss.
	ExactMax = 1 << 53
)
