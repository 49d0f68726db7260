package tuning

import "time"

// Operators' changes.
const (
	// CallWait is how long a change may take: after it the response is that its outcome is unknown.
	CallWait = 6 * time.Second
	// InForceUsual is within what time a change is usually in force, also with a proxy that sends but receives
	// nothing: what a change waits for after it is logged.
	InForceUsual = 1600 * time.Millisecond
	// PendingCallsKept is for how long after a leader lost its leadership calls go on waiting for it to resume: an
	// election with one lost vote message. After it they get the response that the outcome is unknown.
	PendingCallsKept = ElectionTimeoutMin + ElectionTimeoutSpread + 2*HeartbeatEvery
	// ChangesKept is how many past changes can be asked about, and rolled back to while their documents fit
	// HistoryBytes.
	ChangesKept = 16
	// HistoryBytes bounds the documents of past changes that are kept, in bytes.
	HistoryBytes = 512 << 10
	// AcceptedChangesKept is how many accepted changes are kept by their digests, to recognise one that is sent
	// again: several days of hundreds of changes. At 32 bytes each they add 128 KiB to a snapshot.
	AcceptedChangesKept = 4096
	// AcceptedChangesInTables is the same in the state that tables carry to proxies for disaster recovery: 2 KiB
	// of TableBytesInFlight. It is more than are under way at any loss.
	AcceptedChangesInTables = 64
	// CtlCall is how long mfctl waits for one response: longer than CallWait, so that a change ends with the
	// member's own response.
	CtlCall = 10 * time.Second
	// CtlRetry is after what time mfctl asks the next member if none leads.
	CtlRetry = 200 * time.Millisecond
)
