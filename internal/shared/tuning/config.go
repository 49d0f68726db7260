package tuning

// Defaults of a configuration's fields.
const (
	// TimeoutDefaultMs is a request's deadline, in ms.
	TimeoutDefaultMs = 5000
	// CapDefault is how many requests may be in flight to a target from all proxies.
	CapDefault = 64
	// WarmCapDefault is the same for a target that is warming up.
	WarmCapDefault = 4
	// AttemptsDefault is how many times a request is sent in all.
	AttemptsDefault = 3
	// BodyMaxDefault is the largest body of a request, in bytes.
	BodyMaxDefault = 1 << 20
)

// Bounds of a configuration's fields. They are far over any real value, and reject what can only be a slip.
const (
	// DocumentMax bounds a configuration, in bytes.
	DocumentMax = 512 << 10
	// ItemNameMax bounds the name of a service, route, policy or objective, in bytes.
	ItemNameMax = 64
	// CapMax bounds the requests in flight to a target.
	CapMax = 100000
	// InFlightMax bounds the requests in flight to a service.
	InFlightMax = 1000000
	// ConnCapMax bounds the connections of a target.
	ConnCapMax = 1000000
	// WarmupRateMax bounds the rate of a target that is warming up, in requests a second.
	WarmupRateMax = 1e6
	// TimeoutMinMs is the shortest deadline of a service, in ms: under it no response comes in time.
	TimeoutMinMs = 10
	// TimeoutMaxMs is the longest time of a service, route or limit, in ms: ten minutes.
	TimeoutMaxMs = 600000
	// QueueTimeoutMaxMs bounds how long a request may be queued, in ms.
	QueueTimeoutMaxMs = 60000
	// QueueLengthMax bounds how many requests may be queued.
	QueueLengthMax = 10000
	// ServiceAttemptsMax bounds the attempts of a service, RouteAttemptsMax those of a route.
	ServiceAttemptsMax = 10
	RouteAttemptsMax   = 100
	// PriorityMax is the lowest priority of a route; 0 is the highest.
	PriorityMax = 1000
	// ServiceBodyMax bounds a service's largest body, LimitsBodyMax and LimitsHeaderMax the largest body and
	// header for all callers, in bytes.
	ServiceBodyMax  = 1 << 30
	LimitsBodyMax   = 1 << 40
	LimitsHeaderMax = 1 << 20
	// ObjectiveMinutes is the longest window of an objective, in minutes, since proxies keep it in memory. It is
	// also the default.
	ObjectiveMinutes = 60
	// ExactMax is up to where whole numbers in JSON, read as float64, are exact.
	ExactMax = 1 << 53
)
