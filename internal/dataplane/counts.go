package dataplane

// Counts are a proxy's counters since its start. Their names on /metrics and in /v1/status are those of the
// tags, or the Go names where there are none.
type Counts struct {
	// Forwarded: attempts that were forwarded to a target, first ones and retries.
	Forwarded uint64 `json:"Admitted" metric:"admitted"`
	// Unmatched: requests that no route and no rule takes.
	Unmatched uint64 `json:"Refused" metric:"refused"`
	// Busy: rejections because all targets, or the queue, were full.
	Busy uint64
	// NoTarget: rejections because no target of the service may be used.
	NoTarget uint64
	// NotServing: rejections by a proxy that has no right to serve.
	NotServing uint64
	// Stopping: rejections by a proxy that is shutting down.
	Stopping uint64
	// Retries: attempts that drew on the retry budget.
	Retries uint64
	// RetriesDenied: rejections because the retry budget was used up.
	RetriesDenied uint64
	// Queued: requests that were queued.
	Queued uint64 `json:"Waited" metric:"waited"`
	// Tables: tables that were put in force.
	Tables uint64
	// StaleTables: tables that were older than the one in force.
	StaleTables uint64
	// ExpiredChoices: attempts that were given up because the choice of their target had grown too old.
	ExpiredChoices uint64 `json:"StaleChoices" metric:"stale_choices"`
	// OwnEjections: ejections that this proxy decided on by itself.
	OwnEjections uint64 `json:"OwnBars" metric:"own_bars"`
	// AvoidedTargets: failed connections, after each of which a target is avoided for tuning.AvoidFor.
	AvoidedTargets uint64 `json:"Shunned" metric:"shunned"`
	// InvalidTables: tables that were rejected because their configuration could not be read.
	InvalidTables uint64 `json:"UnsoundTables" metric:"unsound_tables"`
	// NoRoute: those of Unmatched for whose host and path there is nothing at all.
	NoRoute uint64
	// WithinQuota: attempts within this proxy's own quota of the target's slots.
	WithinQuota uint64 `json:"Dealt" metric:"dealt"`
	// Borrowed: attempts beyond it, or in a slot of it that others use.
	Borrowed uint64
	// ToWarmingUp: attempts at targets that are warming up.
	ToWarmingUp uint64 `json:"ToCold" metric:"to_cold"`
	// WarmupWaits is 0: nothing counts here any more, and the metric keeps its name.
	WarmupWaits uint64 `json:"ColdWaits" metric:"cold_waits"`
	// TargetRejections: attempts that their target rejected.
	TargetRejections uint64 `json:"Full" metric:"full"`
	// DeadlineTooClose: rejections because too little was left until the deadline.
	DeadlineTooClose uint64 `json:"TooLate" metric:"too_late"`
	// Preempted: queued requests that were rejected in favour of one of higher priority.
	Preempted uint64 `json:"Overtaken" metric:"overtaken"`
	// LowPriority: choices that were restricted because requests of higher priority come.
	LowPriority uint64 `json:"LowRank" metric:"low_rank"`
	// NotRepeatable: requests that may run only once and were not retried because they may have run.
	NotRepeatable uint64 `json:"OnceKept" metric:"once_kept"`
	// SplitFallbacks: requests that went to another service of their route's split.
	SplitFallbacks uint64 `json:"OtherShare" metric:"other_share"`
}
