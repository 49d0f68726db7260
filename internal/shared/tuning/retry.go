package tuning

import "time"

// The retry budget: at most a fifth of the requests of any 10 s are retries. Source: docs/rules.md.
const (
	// RetryWindow is the window of the retry budget.
	RetryWindow = 10 * time.Second
	// RetryShare is the divisor of a window's requests that gives the retries of the budget.
	RetryShare = 5
	// RetryFree is how many retries a service has besides, in a window, shared by the proxies.
	RetryFree = 10
	// RetryEarn is the part of the budget's ratio that each request earns at once, and RetrySave the part that may be
	// saved up from the window before. With rounding they stay under the ratio.
	RetryEarn = 0.85
	RetrySave = 0.1
	// WindowBuckets is in how many buckets a window's requests are counted.
	WindowBuckets = 20
	// RetryTimeMin is how much time a retry after a target's own error needs: a few network hops and a short response.
	RetryTimeMin = 25 * time.Millisecond
	// ReplayMax is the largest body of an idempotent request that is kept for a retry, in bytes.
	ReplayMax = 64 << 10
)

// Attempts of a request.
const (
	// ChoiceTTL is how long after a target was chosen a request may begin to be written to it: the time to open
	// a connection and a little. A process that is frozen in between sends nothing on an old choice.
	ChoiceTTL = DialTimeout + 100*time.Millisecond
	// DialTimeout is how long it may take to open a connection and check the target's identity.
	DialTimeout = 500 * time.Millisecond
	// ConnectTimeoutMin is how long it may take to open a connection, if there is another target: over any round
	// trip between domains, and under what a lost first packet costs.
	ConnectTimeoutMin = 100 * time.Millisecond
	// ConnectParts is the divisor of a route's latency target that gives a longer such time, up to DialTimeout:
	// a target whose slots are all taken accepts a connection when a request ends, and requests take longer
	// where latency targets are long.
	ConnectParts = 4
	// ConnectAttemptsMax is how many choices of one request may end before anything is sent. They are no
	// attempts: those are targets that the request was sent to.
	ConnectAttemptsMax = 4
	// AvoidFor is how long a proxy chooses a target last after it could not open a connection to it.
	AvoidFor = time.Second
	// UnreachableCheckAfter is after what time without a response it is checked whether the target is known to be
	// unreachable, and UnreachableCheckEvery how often from then on: two missed probes take longer.
	UnreachableCheckAfter = 300 * time.Millisecond
	UnreachableCheckEvery = 60 * time.Millisecond
	// NetHop is how much less time than is left a target is given: its last response has to travel.
	NetHop = 5 * time.Millisecond
)
