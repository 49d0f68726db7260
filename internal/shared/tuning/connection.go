package tuning

import "time"

// Connections to targets.
const (
	// ConnIdleTimeout is how long an idle connection is kept. Common servers close theirs after 5 s; a shorter time makes it
	// rare that a request is sent on a connection that is being closed.
	ConnIdleTimeout = 4 * time.Second
	// IdleTimeoutMargin is how much earlier than the idle timeout announced by a target a connection is closed. It
	// covers a network hop each way, and the clocks and queues in between.
	IdleTimeoutMargin = 500 * time.Millisecond
	// NonIdempotentIdleMax is how long a connection may have been idle to be used for a request that is not
	// idempotent. If the target closes the connection in the meantime or has become unreachable, it is unknown
	// whether the request ran; opening a new connection shows this before anything is sent.
	NonIdempotentIdleMax = 200 * time.Millisecond
	// IdleConnsMax is how many idle connections a proxy keeps to a target. Targets limit the connections from all
	// proxies together, and some dedicate one of their request slots to each.
	IdleConnsMax = 8
	// IdleConnDivisor is the divisor of a target's connection limit that gives how many idle connections all proxies
	// keep together. The rest is left for requests and probes.
	IdleConnDivisor = 2
	// AckTimeout is how long data sent to a target or daemon may stay unacknowledged by TCP before the connection is
	// closed. Source: the 2 s rule.
	AckTimeout = 2 * time.Second
	// KeepAliveIdle is the time without data after which TCP keep-alive probes are sent, KeepAliveInterval their
	// interval, and KeepAliveCount the number of unanswered probes after which the connection is closed.
	KeepAliveIdle     = 2 * time.Second
	KeepAliveInterval = time.Second
	KeepAliveCount    = 3
	// InterimMax is the maximum number of interim responses (1xx) before the final response.
	InterimMax = 5
	// ResponseBufferMax is the size up to which a response is buffered completely before any of it is forwarded to
	// the caller, in bytes, so that a request whose response is cut off can be retried. Most API responses are
	// smaller.
	ResponseBufferMax = 64 << 10
)

// Callers' connections.
const (
	// CallerIdleTimeout is how long an idle connection is kept.
	CallerIdleTimeout = 60 * time.Second
	// IdleSlack is how much longer than announced an idle connection is kept, so that a caller that respects the
	// announced limit never writes to a connection that is being closed.
	IdleSlack = time.Second
	// CallerHeaderTimeout is the time limit for receiving a request header.
	CallerHeaderTimeout = 3 * TargetHeartbeatTimeout
	// CallBodyTimeout is the time limit for receiving the body of a call of the HTTP API. A body of DocumentMax bytes takes
	// 4.2 s at 1 Mbit/s.
	CallBodyTimeout = 10 * time.Second
	// CallerAckTimeout is AckTimeout for callers. It exceeds the pauses of a caller that reads slowly.
	CallerAckTimeout = 10 * time.Second
	// CloseTimeout is how long a closed connection may take to deliver its output while the caller keeps its side open.
	// Like CallerAckTimeout it exceeds the pauses of a caller that reads slowly.
	CloseTimeout = CallerAckTimeout
	// CloseStallTimeout is how long a closed connection waits for the caller to close its side after the last
	// acknowledgement: a round trip and the caller's reaction.
	CloseStallTimeout = 500 * time.Millisecond
	// CloseCheckInterval is how often the progress of a closed connection is checked.
	CloseCheckInterval = 20 * time.Millisecond
	// ClosingConnsMax is how many closed connections may wait for their callers at a time. Each holds a file descriptor.
	ClosingConnsMax = 1024
	// FirstWriteMax is the part of a request that is written to a target before its response is read, in bytes. It fits into a
	// small receive window.
	FirstWriteMax = 16 << 10
	// HeaderMax is the largest accepted header, in bytes.
	HeaderMax = 32 << 10
	// ServerHeaderMax is the number of bytes up to which a header is read. It exceeds HeaderMax, so that a header
	// that is too large still gets a response.
	ServerHeaderMax = 4 * HeaderMax
	// CallerBodyMax is the largest request body for a service with a health path, in bytes.
	CallerBodyMax = 64 << 20
	// PipelineMax is how many pipelined requests of one connection are started before the responses to earlier ones
	// are written.
	PipelineMax = 8
	// PipelineReadAhead is how much of a connection is read ahead for pipelining, in bytes: a few typical headers.
	PipelineReadAhead = 2 << 10
)

// Connections between daemons.
const (
	// WireBuffer is the size of a connection's read buffer and of its write buffer, in bytes. It holds a few small
	// messages and is not larger, since a member has a connection to each proxy.
	WireBuffer = 4 << 10
	// MessageMax bounds one message, in bytes. The largest one is a snapshot with all kept documents.
	MessageMax = 8 << 20
	// CompressFrom is the size from which a document or state is compressed, in bytes. Smaller ones fit into a few
	// packets.
	CompressFrom = 2 << 10
	// SendQueue is the maximum number of messages queued for one connection.
	SendQueue = 64
	// SendQueueTTL is how long a message may stay in the queue. A lease that arrives later is useless, and old
	// messages delay new ones.
	SendQueueTTL = 500 * time.Millisecond
	// RedialDelay is how long after a failed attempt to open a connection the next one is made. Daemons that start at the
	// same time find each other within this time, and only messages that are repeated anyway are sent until then.
	RedialDelay = 20 * time.Millisecond
)
