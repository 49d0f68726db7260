package dataplane

// Counts holds a proxy's counters since its start. On /metrics and in /v1/status each counter has the name
// given by its tags, or else one made from its Go name. Some tags keep a former name, such as OnceKept for
// NotRepeatable and OtherShare for SplitFallbacks, so that metrics and status remain compatible.
type Counts struct {
	// Forwarded counts attempts that were forwarded to a target, both first attempts and retries.
	Forwarded uint64 `json:"Admitted" metric:"admitted"`
	// Unmatched counts requests that match no route and no rule, or only rules for other methods.
	Unmatched uint64 `json:"Refused" metric:"refused"`
	// Busy counts rejections because all targets, or the queue, were full.
	Busy uint64
	// NoTarget counts rejections because the service has no target that may be used.
	NoTarget uint64
	// NotServing counts new requests that were rejected because this proxy holds neither the leader's lease nor
	// peer leases.
	NotServing uint64
	// Stopping counts rejections because this proxy is shutting down.
	Stopping uint64
	// Retries counts attempts that were charged to the retry budget.
	Retries uint64
	// RetriesDenied counts rejections because the retry budget was used up.
	RetriesDenied uint64
	// Queued counts requests that were queued.
	Queued uint64 `json:"Waited" metric:"waited"`
	// Tables counts tables that were applied.
	Tables uint64
	// StaleTables counts received tables that were older than the current one.
	StaleTables uint64
	// ExpiredChoices counts attempts that were abandoned before anything was sent, because their target had been
	// chosen more than tuning.ChoiceTTL ago or because the request's deadline had passed.
	ExpiredChoices uint64 `json:"StaleChoices" metric:"stale_choices"`
	// OwnEjections counts ejections that this proxy decided on by itself.
	OwnEjections uint64 `json:"OwnBars" metric:"own_bars"`
	// AvoidedTargets counts failed connections. Each one makes its target avoided for tuning.AvoidFor.
	AvoidedTargets uint64 `json:"Shunned" metric:"shunned"`
	// InvalidTables counts tables that were rejected because their configuration is invalid.
	InvalidTables uint64 `json:"UnsoundTables" metric:"unsound_tables"`
	// NoRoute counts the requests among Unmatched whose host and path match no route, and no rule for any method.
	NoRoute uint64
	// WithinQuota counts choices of a target at which a slot of this proxy's quota was free. This counter, Borrowed
	// and ToWarmingUp cover only services whose targets report how many slots they have.
	WithinQuota uint64 `json:"Dealt" metric:"dealt"`
	// Borrowed counts choices of a target at which the quota was used up, or at which other proxies used the slots
	// of the quota, or to which a connection had failed recently.
	Borrowed uint64
	// ToWarmingUp counts choices of a target that was warming up.
	ToWarmingUp uint64 `json:"ToCold" metric:"to_cold"`
	// WarmupWaits is always 0. It is kept so that its metric still exists.
	WarmupWaits uint64 `json:"ColdWaits" metric:"cold_waits"`
	// TargetRejections counts attempts that their target rejected.
	TargetRejections uint64 `json:"Full" metric:"full"`
	// DeadlineTooClose counts rejections because too little time was left until the deadline.
	DeadlineTooClose uint64 `json:"TooLate" metric:"too_late"`
	// Preempted counts queued requests that were rejected in favour of one of higher priority.
	Preempted uint64 `json:"Overtaken" metric:"overtaken"`
	// LowPriority counts target choices that were restricted to leave capacity for requests of higher priority.
	LowPriority uint64 `json:"LowRank" metric:"low_rank"`
	// NotRepeatable counts non-idempotent requests that were not retried because they may have run.
	NotRepeatable uint64 `json:"OnceKept" metric:"once_kept"`
	// SplitFallbacks counts requests that went to another service of their route's split.
	SplitFallbacks uint64 `json:"OtherShare" metric:"other_share"`
}
