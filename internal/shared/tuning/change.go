package tuning

import "time"

// Operators' changes.
const (
	// ChangeTimeout is the time limit for a change. After it the response reports that the outcome is unknown.
	ChangeTimeout = 6 * time.Second
	// UsualInForceTime is the time within which a committed change is usually in force, even with a proxy that can send
	// but not receive. If it takes longer, the reason for the wait is logged.
	UsualInForceTime = 1600 * time.Millisecond
	// PendingCallsKept is how long calls stay pending after the leader lost its leadership, in case it resumes: the
	// duration of an election with one lost vote message. After it they get the response that the outcome is
	// unknown.
	PendingCallsKept = ElectionTimeoutMin + ElectionTimeoutSpread + 2*HeartbeatEvery
	// ChangesKept is how many past changes can be queried. They can be rolled back to as long as their documents
	// fit into HistoryBytes.
	ChangesKept = 16
	// HistoryBytes bounds the total size of the documents of past changes, in bytes.
	HistoryBytes = 512 << 10
	// AcceptedChangesKept is how many digests of accepted changes are kept to recognise a change that is sent again:
	// enough for several days with hundreds of changes a day. At 32 bytes each they add 128 KiB to a snapshot.
	AcceptedChangesKept = 4096
	// ChangedSubjectsKept is how many subjects of changes without a base a leader remembers with their latest change: more
	// than the domains, proxies and members that are changed in a term. They take about 100 bytes each.
	ChangedSubjectsKept = 4096
	// PositionsKept is how many positions of the log a control daemon remembers with their times, 160 KiB in all, at least
	// PositionInterval apart.
	PositionsKept = 4096
	// PositionInterval is the resolution of these times. A change that was made within this time before a call of the same
	// caller may count as a later one.
	PositionInterval = 100 * time.Microsecond
	// AcceptedChangesInTables is the number of digests of accepted changes in the copy of the state that tables carry to proxies
	// for disaster recovery. They take 2 KiB of TableBytesInFlight. It exceeds the number of changes that can be in
	// progress when the control plane is lost.
	AcceptedChangesInTables = 64
	// CtlCallTimeout is how long mfctl waits for one response. It exceeds ChangeTimeout, so that the member's own response
	// ends a change.
	CtlCallTimeout = 10 * time.Second
	// CtlRetry is how long mfctl waits before it asks the next member if there is no leader.
	CtlRetry = 200 * time.Millisecond
)
