package tuning

import "time"

// Forwarding requests to targets.
const (
	// RetryWindow and RetryShare are the brief's: a fifth of the traffic in any 10 s.
	RetryWindow = 10 * time.Second
	RetryShare  = 5
	// RetryCost is what a retry costs in requests, a little over RetryShare, so that what may be
	// saved up, a RetryBurst-th of the last 10 s, still fits: 1/6 + 1/60 = 0.18, under a fifth.
	RetryCost  = 6
	RetryBurst = 60
	// RetryFree is the small allowance of retries per service, split over the proxies, at least one each.
	RetryFree = 10
	// AttemptsDefault is how often one request may be sent in all.
	AttemptsDefault = 3
	// ChoiceTTL is how long after a target was chosen a request may begin to be written to it: a
	// new connection's time and a little. A process that freezes in between sends nothing on an old choice.
	ChoiceTTL = DialTimeout + 100*time.Millisecond
	// DialTimeout is how long opening a connection and checking its identity may take.
	DialTimeout = 500 * time.Millisecond
	// ConnectTimeoutMin is how long a connection to a target may take to open: over any round trip between
	// domains, under what a lost first packet costs anyway. Nothing was sent, so another is chosen.
	ConnectTimeoutMin = 100 * time.Millisecond
	// ConnectParts: where a route's aim is long, a connection may take this part of it instead, up to DialCap. A target whose
	// slots are all taken lets a new one wait for the end of a request, and requests last longer where aims are.
	ConnectParts = 4
	// UnreachableCheckAfter is after what time without an answer it is looked, each DarkEvery, whether the target
	// is known to be out of reach: two missed probes take longer.
	UnreachableCheckAfter = 300 * time.Millisecond
	UnreachableCheckEvery = 60 * time.Millisecond
	// ConnectAttemptsMax is how many choices of one request may end before anything is sent. They do not count
	// as its attempts, which are targets that it was sent to.
	ConnectAttemptsMax = 4
	// AvoidFor is how long a target that refused a connection is used last by that proxy.
	AvoidFor = time.Second
	// ClosedEjection is how long a proxy leaves a target out after two connections in a row could not be
	// opened: as two missed probes, seen from the proxy, until the leader's own ejection arrives.
	ClosedEjection = 3 * time.Second
	// BodyMaxDefault is the default bound of a caller's body in bytes.
	BodyMaxDefault = 1 << 20
	// ReplayMax is the largest body, in bytes, kept so that a safe request can be sent again.
	ReplayMax = 64 << 10
	// TimeoutMaxMs bounds a route's times: ten minutes.
	TimeoutMaxMs = 600000
	// TimeoutDefaultMs is the default deadline of a request.
	TimeoutDefaultMs = 5000
	// CapDefault is the default number of requests in flight per target over all proxies.
	CapDefault = 64
	// WarmCapDefault is the same for a warming target.
	WarmCapDefault = 4
	// SlowStart is over what time a target's cap grows from its warming one to the full one.
	SlowStart = 3 * time.Second
	// RetryAfterMin and RetryAfterSpan make the Retry-After of a refusal, spread by request.
	RetryAfterMin  = time.Second
	RetryAfterSpan = 3 * time.Second
	// ConnIdle is how long an unused connection to a back end is kept: under the 5 s after which common
	// servers close theirs, so that a request seldom meets the close under way.
	ConnIdle = 4 * time.Second
	// PipelineMax is how many requests of one caller's connection are begun before those ahead of them
	// are answered; AheadRead is how much of it is looked at, in bytes: some usual headers.
	PipelineMax       = 8
	PipelineReadAhead = 2 << 10
	// CallerIdle is how long a caller's unused connection is kept.
	CallerIdle = 60 * time.Second
	// CallerHeader is how long a caller's header may take to come: three lost words' time.
	CallerHeader = 3 * TargetHeartbeatTimeout
	// IdleSlack is how much longer than it is told an unused connection of a caller's is kept: who
	// believes in the bound never writes on one that is being closed.
	IdleSlack = time.Second
	// IdleConnsMax is how many unused connections are kept per target: targets bound the connections from all
	// proxies together, and some hold a slot for each.
	IdleConnsMax = 8
	// IdleConnParts: all proxies together keep at most one in so many of the connections that a target takes, so that
	// unused ones leave room for those in use and for probes.
	IdleConnParts = 2
	// RetryTimeMin is the time that another try after a target's own failure needs: a few hops and a short answer.
	RetryTimeMin = 25 * time.Millisecond
	// NonIdempotentIdleMax is how long a connection may have been unused for a request that must not run twice: a
	// target that closes it meanwhile, or has gone dark, leaves the request unknown; a new connection finds
	// that out before anything is sent.
	NonIdempotentIdleMax = 200 * time.Millisecond
	// IdleTimeoutMargin is how much sooner than a target says it keeps a connection the connection is given up: a
	// hop each way, and clocks and queues in between.
	IdleTimeoutMargin = 500 * time.Millisecond
	// AckTimeout is how long what was sent on a connection to a target or daemon may stay unacknowledged
	// before it is broken: the rule's 2 s.
	AckTimeout = 2 * time.Second
	// CallerAckTimeout is the same for callers, over the pauses of one who reads slowly.
	CallerAckTimeout = 10 * time.Second
	// KeepAliveIdle, AliveEvery and AliveCount: a silent connection's other side is asked after 2 s, then
	// each second, and is gone after three without an answer.
	KeepAliveIdle     = 2 * time.Second
	KeepAliveInterval = time.Second
	KeepAliveCount    = 3
	// InterimMax is how many interim answers may come before the answer.
	InterimMax = 5
	// ResponseBufferMax is the largest answer in bytes that is read whole before its caller gets any of
	// it, so that one that is cut can be made up for: what most interfaces answer with.
	ResponseBufferMax = 64 << 10
	// NetHop is kept back from the time that is passed on: a target's last answer has to travel.
	NetHop = 5 * time.Millisecond
	// CallerBody is what a caller may send, in bytes, to services whose targets are asked for their health.
	CallerBody = 64 << 20
	// ProbeBody bounds what is read of an answer to a probe, in bytes.
	ProbeBody = 4 << 10
	// ProbeConnIdle is how long a connection for probes is kept without one: a target that is gone leaves none.
	ProbeConnIdle = 10 * time.Second
	// ObjectiveMinutes is the longest window of a service-level aim, in minutes: proxies keep it in memory.
	ObjectiveMinutes = 60
	// HeaderMax bounds a caller's header in bytes.
	HeaderMax = 32 << 10
	// ServerHeaderMax is where reading a header ends, in bytes: over HeaderMax, so that a header that is
	// too large is still answered.
	ServerHeaderMax = 4 * HeaderMax
	// RetryEarn and RetrySave, parts of the retry ratio: what each request earns at once, and what of
	// the window before may be saved up. Together with rounding they stay under the whole.
	RetryEarn = 0.85
	RetrySave = 0.1
	// WindowBuckets is in how many slices a window's requests are counted.
	WindowBuckets = 20
	// TargetFullBackoff is how long a target that said it is full is left out: less than a usual request,
	// one of which ends meanwhile.
	TargetFullBackoff = 70 * time.Millisecond
	// LoadTTL is how long what a target told of its load counts, less and less.
	LoadTTL = time.Second
	// SpeedTTL is how long a target's past speed counts, less and less, so that a slow one is tried
	// again; PaceWeight is a request's part in it, the first ones' more: times vary as much as speeds.
	SpeedTTL    = 20 * time.Second
	SpeedWeight = 0.1
	// SpeedPenalty is how much of a target's slowness counts beside its load, PaceMost the most that does:
	// as long as a slot is free, a full target is no slower than an empty one.
	SpeedPenalty    = 1.0
	SpeedPenaltyMax = 1.5
	// OpenConnBonus is what an open connection is worth beside a target's load.
	OpenConnBonus = 0.1
	// ResponseTimeWeight is a request's part in its route's mean time, once a few have been seen.
	ResponseTimeWeight = 0.05
	// QuotaOvercommit of its even part of the slots, and BorrowMore requests, is what a proxy may have at
	// a service's targets in any case, so that queues before them stay short; as long as none
	// says that it is full, up to BorrowMost parts.
	QuotaOvercommit    = 1.5
	QuotaExtra         = 1
	QuotaOvercommitMax = 3
	// QuotaBackoffFactor is what is left of that window when a target says that it is full.
	QuotaBackoffFactor = 0.8
	// PressureTTL is how long after a sign of it a service counts as under pressure.
	PressureTTL = time.Second
	// Ranks is how many priorities are told apart; RankRoom the part of the window that each leaves
	// to those before it while there is pressure.
	PriorityLevels  = 4
	PriorityReserve = 0.1
	// FairSpan is the span over which a service's requests are counted by priority, long beside a
	// burst; FairPart the part of the average that each priority is kept at: over a quarter, under
	// which it would count as starved; FairLeast how many must have come for it to count.
	FairSpan  = 5 * time.Second
	FairPart  = 0.4
	FairLeast = 4
	// WaitTargetParts of a route's aim is how long a request may wait for a target: a refusal after that
	// is a late one. A route without an aim has WaitAim of its timeout in its place.
	WaitTargetParts  = 4
	WaitTimeoutParts = 4
	// QueueMin is how many may wait for a service's targets in any case.
	QueueMin = 2
	// RetryAfterFloor is the least that a refusal asks a caller to stay away; RefuseLeft the part of what the
	// caller has left that it may ask at most.
	RetryAfterFloor     = 20 * time.Millisecond
	RetryAfterTimeParts = 3
	// ShutdownLingerMax is how long a stopping proxy takes all requests where the time until it is ended by force is
	// known and long enough: two misses of a look each second, and a little. StopMargin is what it leaves of that time.
	ShutdownLingerMax = 2500 * time.Millisecond
	ShutdownMargin    = 300 * time.Millisecond
	// ShutdownReserve is how long before the end of that time targets are told to answer what a stopping proxy gives them:
	// their answer that it took too long still has to be passed on, by a machine that may be busy. After half
	// of it the proxy answers by itself.
	// Of a short grace it is a StopTailParts-th.
	ShutdownReserve      = 500 * time.Millisecond
	ShutdownReserveParts = 8
	// ShutdownWriteTimeout is how much longer than its requests a stopping proxy waits for answers to be written: within
	// what the owner leaves of the grace. StopLook is how often it looks.
	ShutdownWriteTimeout = 200 * time.Millisecond
	ShutdownPoll         = 5 * time.Millisecond
	// ShutdownTimeout is how long a stopping proxy finishes its requests, and StopLinger how long it
	// serves on after going unready so that callers can move away.
	ShutdownTimeout = 20 * time.Second
	ShutdownLinger  = 1500 * time.Millisecond
)
