package tuning

// Defaults of configuration fields.
const (
	// TimeoutDefaultMs is the deadline of a request, in ms.
	TimeoutDefaultMs = 5000
	// CapDefault is the limit of requests in flight to one target from all proxies.
	CapDefault = 64
	// WarmCapDefault is the limit of requests in flight to one target from all proxies for a target that is warming up.
	WarmCapDefault = 4
	// AttemptsDefault is the maximum number of times a request is sent, the first attempt included.
	AttemptsDefault = 3
	// BodyMaxDefault is the largest request body, in bytes.
	BodyMaxDefault = 1 << 20
)

// Bounds of configuration fields. They are far above any realistic value, so that only mistakes are rejected.
const (
	// DocumentMax bounds a configuration document, in bytes.
	DocumentMax = 512 << 10
	// ItemNameMax bounds the name of a service, route, policy or objective, in bytes.
	ItemNameMax = 64
	// CapMax bounds the limit of requests in flight to a target.
	CapMax = 100000
	// InFlightMax bounds the limit of requests in flight to a service.
	InFlightMax = 1000000
	// ConnCapMax bounds the number of connections that a target accepts.
	ConnCapMax = 1000000
	// WarmupRateMax bounds the request rate to targets that are warming up, in requests a second.
	WarmupRateMax = 1e6
	// TimeoutMinMs is the shortest deadline of a service, in ms. No response arrives in less.
	TimeoutMinMs = 10
	// TimeoutMaxMs is the longest duration in a service, route or limit, in ms: ten minutes.
	TimeoutMaxMs = 600000
	// QueueTimeoutMaxMs bounds the time that a request may be queued, in ms.
	QueueTimeoutMaxMs = 60000
	// QueueLengthMax bounds the number of queued requests.
	QueueLengthMax = 10000
	// ServiceAttemptsMax bounds the attempts of a service, RouteAttemptsMax those of a route.
	ServiceAttemptsMax = 10
	RouteAttemptsMax   = 100
	// PriorityMax is the lowest priority of a route; 0 is the highest.
	PriorityMax = 1000
	// ServiceBodyMax bounds the body limit of a service, LimitsBodyMax and LimitsHeaderMax the body and header
	// limits for all callers, in bytes.
	ServiceBodyMax  = 1 << 30
	LimitsBodyMax   = 1 << 40
	LimitsHeaderMax = 1 << 20
	// ObjectiveMinutes is the longest window of an objective, in minutes, and the default. It is bounded since
	// proxies keep the window in memory.
	ObjectiveMinutes = 60
	// ExactIntegerMax is the magnitude up to which integers in JSON are exact when they are read as float64.
	ExactIntegerMax = 1 << 53
)
