package tuning

import "time"

// The retry budget: at most a fifth of the requests in any 10 s may be retries. Source: docs/rules.md.
const (
	// RetryWindow is the window of the retry budget.
	RetryWindow = 10 * time.Second
	// RetryRatioDivisor is the divisor of a window's number of requests that gives the number of allowed retries.
	RetryRatioDivisor = 5
	// RetrySlack is the number of retries per window that a service has in addition, shared by the proxies.
	RetrySlack = 10
	// RetryCreditPerRequest is the part of the ratio of allowed retries that each request adds to the credit for
	// retries. RetryCarryOver is the part of the ratio, for each request in the window, up to which credit may be saved
	// up. Their sum is below 1, which leaves room for rounding.
	RetryCreditPerRequest = 0.85
	RetryCarryOver        = 0.1
	// WindowBuckets is the number of buckets in which a window's requests are counted.
	WindowBuckets = 20
	// RetryTimeMin is the time that must be left for a retry after an error of the target: a few network hops and a
	// short response.
	RetryTimeMin = 25 * time.Millisecond
	// ReplayMax is the largest body of an idempotent request that is kept for a retry, in bytes.
	ReplayMax = 64 << 10
)

// Attempts of a request.
const (
	// ChoiceTTL is how long after a target was chosen the request may begin to be written to it: slightly more than
	// it takes to open a connection. A process that was frozen in between sends nothing based on an outdated choice.
	ChoiceTTL = DialTimeout + 100*time.Millisecond
	// DialTimeout is the time limit for opening a connection and checking the target's identity.
	DialTimeout = 500 * time.Millisecond
	// ConnectTimeoutMin is the time limit for opening a connection if there is another target. It exceeds any round
	// trip time between domains, and is below the delay that a lost first packet causes.
	ConnectTimeoutMin = 100 * time.Millisecond
	// ConnectTimeoutDivisor is the divisor of a route's latency target that gives a longer limit, up to DialTimeout. A target
	// whose slots are all taken accepts a connection only when a request ends, and requests take longer where latency
	// targets are long.
	ConnectTimeoutDivisor = 4
	// ConnectAttemptsMax is how many times a request may fail before anything of it is sent. Such failures do not count
	// as attempts, which are counted by the targets that the request was sent to.
	ConnectAttemptsMax = 4
	// AvoidFor is how long a proxy uses a target only as a last resort after it could not open a connection to it.
	AvoidFor = time.Second
	// UnreachableCheckAfter is the time without a response after which the proxy checks whether the target is known
	// to be unreachable, and UnreachableCheckEvery the interval of later checks. Two missed probes take longer.
	UnreachableCheckAfter = 300 * time.Millisecond
	UnreachableCheckEvery = 60 * time.Millisecond
	// NetHop is subtracted from the remaining time that is passed to a target, since its response must still travel
	// back.
	NetHop = 5 * time.Millisecond
)
