package tuning

import "time"

// Connections to targets.
const (
	// ConnIdle is how long an unused connection is kept: under the 5 s after which common servers close
	// theirs, so that a request seldom meets a connection that is being closed.
	ConnIdle = 4 * time.Second
	// IdleTimeoutMargin is how much sooner than a target's announced idle time-out a connection is closed: a
	// network hop each way, and clocks and queues in between.
	IdleTimeoutMargin = 500 * time.Millisecond
	// NonIdempotentIdleMax is how long a connection may have been unused for a request that is not idempotent. A
	// target that closes it meanwhile, or is unreachable by now, leaves it unknown whether the request ran;
	// a new connection shows that before anything is sent.
	NonIdempotentIdleMax = 200 * time.Millisecond
	// IdleConnsMax is how many unused connections a proxy keeps to a target: targets limit the connections
	// from all proxies together, and some use a slot for each.
	IdleConnsMax = 8
	// IdleConnParts is the divisor of a target's connections that gives how many unused ones all proxies keep
	// together, so that there are some left for requests and probes.
	IdleConnParts = 2
	// AckTimeout is how long data sent to a target or daemon may be unacknowledged by TCP before the connection is
	// closed. Source: the 2 s rule.
	AckTimeout = 2 * time.Second
	// KeepAliveIdle is after what time without data TCP keep-alive probes are sent, KeepAliveInterval how
	// often, and KeepAliveCount after how many without an answer the connection is closed.
	KeepAliveIdle     = 2 * time.Second
	KeepAliveInterval = time.Second
	KeepAliveCount    = 3
	// InterimMax is how many interim responses (1xx) may come before the response.
	InterimMax = 5
	// ResponseBufferMax is the largest response that is read completely before its caller gets any of it, in
	// bytes, so that one that breaks off can be retried: most responses of APIs are smaller.
	ResponseBufferMax = 64 << 10
)

// Callers' connections.
const (
	// CallerIdle is how long an unused connection is kept.
	CallerIdle = 60 * time.Second
	// IdleSlack is how much longer than announced an unused connection is kept: a caller that respects the
	// limit never writes on one that is being closed.
	IdleSlack = time.Second
	// CallerHeader is how long a header may take to arrive.
	CallerHeader = 3 * TargetHeartbeatTimeout
	// CallerAckTimeout is AckTimeout for callers: longer than the pauses of one that reads slowly.
	CallerAckTimeout = 10 * time.Second
	// HeaderMax is the largest header, in bytes.
	HeaderMax = 32 << 10
	// ServerHeaderMax is up to where a header is read, in bytes: over HeaderMax, so that a header that is too
	// large still gets its response.
	ServerHeaderMax = 4 * HeaderMax
	// CallerBody is the largest body to a service with a health path, in bytes.
	CallerBody = 64 << 20
	// PipelineMax is how many pipelined requests of one connection are begun before the responses ahead of them.
	PipelineMax = 8
	// PipelineReadAhead is how much of a connection is read ahead for that, in bytes: some usual headers.
	PipelineReadAhead = 2 << 10
)

// Connections between daemons.
const (
	// WireBuffer is the size of a connection's buffers for reading and for writing, in bytes: some small
	// messages, since a member has a connection to each proxy.
	WireBuffer = 4 << 10
	// WireMax bounds one message, in bytes: a snapshot with all kept documents.
	WireMax = 8 << 20
	// CompressFrom is the least size of a document or state that is compressed, in bytes: smaller ones fit a
	// few packets.
	CompressFrom = 2 << 10
	// SendQueue is how many messages may wait for one connection.
	SendQueue = 64
	// SendQueueTTL is how long a message may wait: a lease that comes later is of no use, and old messages delay
	// new ones.
	SendQueueTTL = 500 * time.Millisecond
	// Redial is how long after a failure to open a connection the next attempt is made: daemons that start
	// together find each other within it, and nothing is sent but what is repeated anyway.
	Redial = 20 * time.Millisecond
)
