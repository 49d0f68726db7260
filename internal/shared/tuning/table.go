package tuning

import "time"

// Tables from the leader to the proxies.
const (
	// ReconcileEvery is how often the table is rebuilt and sent to all in any case. Source: the given design.
	ReconcileEvery = 10 * time.Second
	// TableEvery is the least time between tables with changes that may wait: many targets that come or get
	// ready together make one table.
	TableEvery = 80 * time.Millisecond
	// TableDelayPerRow is what each pair of a target and a proxy adds to it, since every proxy computes the
	// shares of every target: 0.1 s for 300 targets and 70 proxies.
	TableDelayPerRow = 5 * time.Microsecond
	// UrgentTableDelayPerProxy is the least time between tables with changes that must not wait, for each
	// proxy. To send one and have it confirmed takes the leader about 0.2 ms of a processor for each proxy,
	// and four times that on a quarter of a processor. So such tables take at most two fifths of a small machine,
	// however many targets leave together.
	UrgentTableDelayPerProxy = 2 * time.Millisecond
	// UrgentTableDelayMax bounds that time: with it an ejection is in force everywhere within 2 s.
	UrgentTableDelayMax = 200 * time.Millisecond
	// TablesKept is for how many past tables a leader knows when it made them: more than it makes in
	// TableAckTimeout.
	TablesKept = 64
	// RemovedTargetsKept is how many removed targets a leader keeps, so that a table can be sent as a delta.
	RemovedTargetsKept = 1024
	// PackedTables is how many tables a process keeps in packed form: the complete one, the one without
	// document, and deltas to the latest few.
	PackedTables = 8
	// TimeLeftStep is how far the end of an ejection or a warm-up must move to be sent again.
	TimeLeftStep = 250 * time.Millisecond
	// DemandEvery is the least time between tables that are sent only because demand changed.
	DemandEvery = time.Second
	// DemandStep is how far a target's demand must change for that; 1 is as much as the target bears.
	DemandStep = 0.125
	// SlowLink is what a slow link carries beside traffic, in bytes a second.
	SlowLink = 128 << 10
	// TableBytesInFlight is how much of tables may be in flight to a proxy and not acknowledged, in bytes: 0.1 s
	// on a link of SlowLink.
	TableBytesInFlight = 12 << 10
	// TableRowBytes is about how much a target or proxy takes in a table, in bytes.
	TableRowBytes = 120
	// ShareOffsetsKept is for how many names of removed targets a leader keeps the share offset.
	ShareOffsetsKept = 4096
)
