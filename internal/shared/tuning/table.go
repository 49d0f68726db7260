package tuning

import "time"

// Tables from the leader to the proxies.
const (
	// ReconcileEvery is how often the table is rebuilt and sent to all proxies even without changes. Source: the given
	// design.
	ReconcileEvery = 10 * time.Second
	// TableEvery is the minimum time between tables for changes that are not urgent. If many targets appear or become
	// ready at the same time, they are sent in one table.
	TableEvery = 80 * time.Millisecond
	// TableDelayPerRow is added to TableEvery for each pair of a target and a proxy, since every proxy computes the shares of
	// every target: 0.1 s for 300 targets and 70 proxies.
	TableDelayPerRow = 5 * time.Microsecond
	// UrgentTableDelayPerProxy is the minimum time between tables for urgent changes, for each proxy. Sending a table
	// and processing its acknowledgement takes the leader about 0.2 ms of processor time for each proxy, and four
	// times that on a quarter of a processor. So such tables use at most two fifths of a small machine, however many
	// targets leave at the same time.
	UrgentTableDelayPerProxy = 2 * time.Millisecond
	// UrgentTableDelayMax bounds the time between tables for urgent changes, so that an ejection is in force everywhere within 2 s.
	UrgentTableDelayMax = 200 * time.Millisecond
	// TablesKept is the number of latest tables whose creation time a leader remembers. It exceeds the number that it
	// makes in TableAckTimeout.
	TablesKept = 64
	// RemovedTargetsKept is how many removed targets a leader remembers, so that a table can be sent as a delta.
	RemovedTargetsKept = 1024
	// PackedTables is the number of tables that a process keeps in packed form: the complete one, the one without
	// the document, and deltas to the latest few.
	PackedTables = 8
	// TimeLeftStep is how far the end of an ejection or warm-up must move for the table to be sent again.
	TimeLeftStep = 250 * time.Millisecond
	// DemandEvery is the minimum time between tables that are sent only because demand changed.
	DemandEvery = time.Second
	// DemandStep is how much a target's demand must change for a table to be sent because of it; 1 is the target's full capacity.
	DemandStep = 0.125
	// SlowLink is the capacity that other traffic leaves on a slow link, in bytes a second.
	SlowLink = 128 << 10
	// TableBytesInFlight bounds the size of unacknowledged tables in flight to a proxy, in bytes: 0.1 s on a link of
	// SlowLink.
	TableBytesInFlight = 12 << 10
	// TableRowBytes is the approximate size of a target or proxy in a table, in bytes.
	TableRowBytes = 120
	// ShareOffsetsKept is the number of names of removed targets for which a leader keeps the share offset.
	ShareOffsetsKept = 4096
)
