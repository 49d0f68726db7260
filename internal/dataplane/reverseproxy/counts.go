package reverseproxy

import "sync/atomic"

// Counts are the forwarder's counters, each since the process began. On /metrics they have the names of
// their tags (mf_carry_NAME_total).
type Counts struct {
	// Requests are the requests that were read from callers.
	Requests atomic.Uint64 `metric:"exchanges"`
	// Served are those that got a target's response, whatever its status.
	Served atomic.Uint64 `metric:"served"`
	// RunUnknown are those that got an error of the proxy and may have run.
	RunUnknown atomic.Uint64 `metric:"unknown"`
	// NotRun are those that got an error of the proxy and have not run.
	NotRun atomic.Uint64 `metric:"not_run"`
	// Truncated are responses that ended early after their beginning had been passed on.
	Truncated atomic.Uint64 `metric:"cut"`
	// CallersGone are requests whose caller left before the response.
	CallersGone atomic.Uint64 `metric:"gone"`
	// ConnsOpened are the connections that were opened to targets.
	ConnsOpened atomic.Uint64 `metric:"opened"`
	// ConnsReused are the attempts that took an idle connection to their target.
	ConnsReused atomic.Uint64 `metric:"reused"`
	// WrongIdentity are attempts at whose target's address another target answered.
	WrongIdentity atomic.Uint64 `metric:"foreign"`
	// TargetRejected are attempts that their target rejected, saying that it did not run them.
	TargetRejected atomic.Uint64 `metric:"turned_away"`
	// MismatchedResponses are responses without the request's id or the target's proof.
	MismatchedResponses atomic.Uint64 `metric:"strange"`
	// Pipelined are requests that began before their turn on their connection.
	Pipelined atomic.Uint64 `metric:"ahead"`
	// Deferred are those of them that may run only once and therefore waited for their turn.
	Deferred atomic.Uint64 `metric:"deferred"`
	// AbandonedUnreachable are attempts that did not wait for an unreachable target any longer.
	AbandonedUnreachable atomic.Uint64 `metric:"given_up"`
	// DrainingOldConns are requests that were read after the proxy began to drain, on callers' connections
	// that had been opened before.
	DrainingOldConns atomic.Uint64 `metric:"late_kept"`
	// DrainingNewConns are the same on connections that were opened while the proxy was draining.
	DrainingNewConns atomic.Uint64 `metric:"late_new"`
}
