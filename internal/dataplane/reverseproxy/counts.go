package reverseproxy

import "sync/atomic"

// Counts holds the forwarder's counters, which count from the start of the process. On /metrics each is named after
// its tag: mf_carry_TAG_total.
type Counts struct {
	// Requests counts the requests that were read from callers.
	Requests atomic.Uint64 `metric:"exchanges"`
	// Served counts the requests that got a target's response, whatever its status.
	Served atomic.Uint64 `metric:"served"`
	// RunUnknown counts the requests that got an error from the proxy and may have run at a target.
	RunUnknown atomic.Uint64 `metric:"unknown"`
	// NotRun counts the requests that got an error from the proxy and have not run.
	NotRun atomic.Uint64 `metric:"not_run"`
	// Truncated counts the responses that ended early after their first part had been passed on.
	Truncated atomic.Uint64 `metric:"cut"`
	// CallersGone counts the requests whose caller disconnected before the response.
	CallersGone atomic.Uint64 `metric:"gone"`
	// StalledCallers counts the callers that were cut off while the proxy was draining: they read nothing of a response, or
	// had not sent a request's body when the proxy stopped accepting requests.
	StalledCallers atomic.Uint64 `metric:"stalled"`
	// UnreadBodies counts the requests whose bodies were not read to their ends while they were passed on. Their connections
	// are closed after the response.
	UnreadBodies atomic.Uint64 `metric:"unread_bodies"`
	// ConnsOpened counts the connections that were opened to targets.
	ConnsOpened atomic.Uint64 `metric:"opened"`
	// ConnsReused counts how often an attempt took an idle connection from the pool.
	ConnsReused atomic.Uint64 `metric:"reused"`
	// WrongIdentity counts the attempts for which another target answered at the target's address.
	WrongIdentity atomic.Uint64 `metric:"foreign"`
	// TargetRejected counts the attempts that the target rejected and marked as not run.
	TargetRejected atomic.Uint64 `metric:"turned_away"`
	// MismatchedResponses counts the responses that failed the check of their origin: without the request's id, or
	// successes without the target's proof or marked as not run.
	MismatchedResponses atomic.Uint64 `metric:"strange"`
	// Pipelined counts the requests that were started before the requests ahead of them on their connection were
	// answered.
	Pipelined atomic.Uint64 `metric:"ahead"`
	// Deferred counts the pipelined requests that had to wait for their turn because they are not idempotent.
	Deferred atomic.Uint64 `metric:"deferred"`
	// AbandonedUnreachable counts the attempts that stopped waiting for a response because the target was unreachable.
	AbandonedUnreachable atomic.Uint64 `metric:"given_up"`
	// DrainingOldConns counts the requests that were read while the proxy was draining, on callers' connections that
	// had been opened before.
	DrainingOldConns atomic.Uint64 `metric:"late_kept"`
	// DrainingNewConns counts the requests that were read while the proxy was draining, on callers' connections that
	// were opened while it was draining.
	DrainingNewConns atomic.Uint64 `metric:"late_new"`
}
