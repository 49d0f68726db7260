// Package limit holds every constant of the system with its unit and reason.
// The sums that the rules depend on are written beside the constants that make
// them up; a change here is checked against them by the tests in this package.
package limit

import "time"

// Agreement among the core members.
const (
	// CoreBeat is how often a leader speaks to each member: several chances within a core lease.
	HeartbeatEvery = 100 * time.Millisecond
	// CoreGrant is how long after a majority's last proof of hearing a leader may decide.
	LeaderLease = 500 * time.Millisecond
	// ElectMin is how long a member that heard a leader refuses others: over CoreGrant plus a
	// twentieth for clocks that run at unlike speed, so the old leader stops before a new one starts.
	ElectMin = 700 * time.Millisecond
	// ElectSpread is added by name and term so that members seldom stand at once.
	ElectSpread = 400 * time.Millisecond
	// LeaderQuiet is how long no leader has spoken to a member that says that it hears none: three of
	// its beats. A living leader that is late says itself that it leads.
	LeaderQuiet = 3 * HeartbeatEvery
	// ElectAsk is how often a member that hears no leader asks whether all the others hear none either.
	ElectAsk = 60 * time.Millisecond
	// FsyncStall is how long a sync may hang before a leader stops deciding: under ElectMin.
	SyncStall = 400 * time.Millisecond
	// LogMax is how many entries are held before a snapshot is taken.
	LogMax = 256
	// LogBytes is the same in bytes. With OpenBytes, HistoryBytes and one document more a member's
	// whole state stays under half a ring file.
	LogBytes = 256 << 10
	// OpenBytes is how much may be proposed and not yet agreed; more is refused as busy.
	OpenBytes = 512 << 10
	// HistoryBytes bounds the texts of past configurations that are kept.
	HistoryBytes = 512 << 10
	// AppendMax bounds the bytes of entries in one message, to keep messages small beside WireMax.
	AppendMax = 1 << 20
	// LegacyWait is how long a leader of a refounded core collects what proxies and survivors remember.
	RecoveryWait = 1500 * time.Millisecond
	// FoundWait is how long those who could found a core without one of its machines wait for it:
	// longer than a daemon's restart, and with all that follows within 15 s.
	BootstrapWait = 5 * time.Second
	// VotersMax is how many members a core grows to if no size is given: any three machines may go,
	// or a domain of three, and each entry is still synced by four only.
	VotersMax = 7
	// MemberGone is how long a member is silent before a standby daemon takes its place: longer than
	// a process's restart. One that said that it stops has MemberForget.
	MemberReplaceAfter = 8 * time.Second
	// MemberForget is how long a member is silent before it goes without a replacement: longer
	// than a machine's restart.
	MemberForget = 60 * time.Second
	// LearnWait is how long a learner may take to catch up, and LearnAgain when one that did not
	// is tried once more: others go first meanwhile.
	LearnWait  = 3 * time.Second
	LearnAgain = 15 * time.Second
	// VowLife is how long an operator's order to found again holds.
	ConsentLife = time.Minute
	// HelloEvery is how often daemons tell each other who is there.
	HelloEvery = 300 * time.Millisecond
	// HelloCalm is the same for a proxy while the leader leases it, which makes its pulls tell who is there.
	HelloCalm = 1500 * time.Millisecond
	// MemoryEvery is how often a proxy without a leader tells a core process again what it remembers.
	MemoryEvery = 2 * time.Second
	// HelloHaste is for how long after its start a core daemon that hears no leader says hello as often
	// as it asks for leave to stand.
	HelloHaste = time.Second
	// ListEvery is how often a daemon is told the same list of those known again: twice before
	// one that is known from lists only is dropped, after half of DaemonGone.
	ListEvery = 3 * time.Second
	// DaemonGone is how long a silent daemon stays in the list that is handed on.
	DaemonGone = 15 * time.Second
)

// Tables and leases between the leader and the proxies.
const (
	// PullEvery is how often a proxy asks for its table and lease.
	PullEvery = 150 * time.Millisecond
	// GateGrant is how long a proxy serves on a leader's word, counted from when it asked.
	ProxyLease = 900 * time.Millisecond
	// TouchGrant is the same between leaderless proxies.
	PeerLease = 600 * time.Millisecond
	// TouchMost is how many peers a proxy that serves on its peers asks at a turn, or a TouchTurns-th of a roster for which
	// that is more: all are asked again before a touch lapses, 3 x 150 ms and a hop under 600 ms.
	TouchMost  = 16
	TouchTurns = 3
	// TouchWant is how many of them, in a larger roster, are asked at once what they hold against targets.
	TouchWant = 4
	// GrantMargin is what the leader adds before it takes a lease as lapsed, for clock speed.
	// Worst wait for a change to be in force: GateGrant + GrantMargin = 1.1 s, under the 2 s rule.
	LeaseMargin = 200 * time.Millisecond
	// GateDeaf is how long a proxy may go on asking without taking the table that it is sent before
	// it is granted nothing more: a few lost answers. GateDeaf + GateGrant + GrantMargin = 1.6 s.
	ProxyDeaf = 500 * time.Millisecond
	// GateForget is how long a proxy may be silent before the leader drops it from the roster:
	// long enough for a machine's restart.
	ProxyForget = 60 * time.Second
	// GateLive is how long after its last pull a proxy counts when shares are split.
	ProxyLive = 2 * time.Second
	// FirstRoster is how long a leader with an empty roster gathers proxies before it admits them as one.
	FirstRoster = 500 * time.Millisecond
	// TableEvery is how often tables are made of news that may wait: many targets that come or turn
	// ready at once make one table.
	TableEvery = 80 * time.Millisecond
	// TableRow is how much longer that is for each target and proxy, since every proxy deals every
	// target among all: 0.1 s for 300 targets and 70 proxies.
	TableRow = 5 * time.Microsecond
	// TablesKept is of how many past tables a leader knows when it made them: more than GateDeaf has.
	TablesKept = 64
	// GonesKept is how many targets that went a leader remembers so as to tell changes by.
	GonesKept = 1024
	// LeftStep is how far the end of an ejection or of coldness must move to be told again.
	LeftStep = 250 * time.Millisecond
	// FlightBytes is how much may be under way to a proxy unconfirmed, in bytes: a slow link's tenth of a
	// second. SlowLink is what such a link carries beside traffic, in bytes a second, RowBytes a table's row.
	FlightBytes = 12 << 10
	SlowLink    = 128 << 10
	RowBytes    = 120
	// DemandEvery is how often tables are sent anew only because demand changed.
	DemandEvery = time.Second
	// DemandStep is how far a target's demand must move for that.
	DemandStep = 0.125
	// LeadKept is how long after it lost its lease a leader goes on with what it knew, if nobody else
	// led meanwhile: ElectMin + ElectSpread and an election of its own, twice. What it missed by then
	// are a few beats.
	LeadKept = 3 * time.Second
	// WarmLeader is how long a new leader waits for tables from a majority of proxies.
	WarmLeader = 1500 * time.Millisecond
	// AskWait bounds an operator's change: past it the answer is 'unknown'.
	CallWait = 6 * time.Second
	// ChangesKept is how many past changes can be asked about, and rolled back to while their
	// texts fit HistoryBytes.
	ChangesKept = 16
	// DocMax bounds a configuration in bytes.
	DocMax = 512 << 10
	// SqueezeFrom is from how many bytes on a document or memory is compressed for its way: below, it fits a few packets.
	CompressFrom = 2 << 10
	// WireMax bounds one message between daemons: a snapshot with all kept configurations.
	WireMax = 8 << 20
)

// Judging targets. A target's death is acted on within, at the worst,
// ProbeEvery + ProbeEvery + ProbeCap + one push: 0.45 + 0.45 + 0.4 + ~0.1 = 1.4 s, under 2 s.
const (
	// ProbeEvery is the watchdog's interval (the source's is 1 s; the 2 s rule wants less).
	ProbeEvery = 450 * time.Millisecond
	// ProbeCap is how long one probe may take (the source's 700 ms, cut for the same sum).
	ProbeCap = 400 * time.Millisecond
	// NamedSilent is how long a target of a service that no configuration names, and that is not probed,
	// may be silent, if it beat steadily before, until it has to prove itself anew: a beat and a little. NamedSpread is over what time
	// the first probes go out once the service is named: with both, one that just died is ejected in time.
	NamedSilent = BeatEvery + 100*time.Millisecond
	NamedSpread = ProbeEvery / 2
	// IndirectAfter is how long the probe after a missed one may be unanswered before the leader has
	// IndirectProbes proxies probe in its place. What they tell counts once it comes a PullEvery after
	// the leader's probe went out, and has ProbeCap - IndirectAfter = 0.25 s to come: two hops, a
	// probe and a tick. An ejection waits for nobody: it comes with the second miss as ever.
	IndirectAfter  = PullEvery
	IndirectProbes = 2
	// DoubtAfter is how long after its last granted pull a proxy begins to probe and to touch its
	// peers: two pulls and a little, so that a healthy leader is seldom doubted.
	DoubtAfter = 330 * time.Millisecond
	// DoubtEvery is a doubting proxy's own probe interval: the leader, if it is lost, may have been
	// one miss short of an ejection. At the worst 0.45 + 0.45 + 0.4 s went by there and 0.33 + 0.4 + 0.4 go by here.
	DoubtEvery = 200 * time.Millisecond
	// ProbePace is by how much more often than at rest probes may begin, and ProbesLeast how many may
	// in a tick in any case, so that small fleets are all probed in two ticks. Where all targets are due at once the last waits for
	// ProbeEvery / ProbePace = 0.36 s: 300 connections opened in a tick take a small machine longer
	// than LeaderLease. A target that missed a probe waits for no other.
	ProbePace   = 1.25
	ProbesLeast = 16
	// KeepEvery is how often the agreed registry of targets is written, if something in it changed;
	// a word that says leaving or gone is written at the next tick after another write.
	RegistryEvery = 250 * time.Millisecond
	// KeepBatch is how many targets one write holds, PlacesMax how many targets, and marks of those
	// that are gone, the registry: at 300 bytes each 2.4 MB, and with all else under half a ring file.
	RegistryBatch = 256
	RegistryMax   = 4096
	// WatchMost is how many targets a doubting proxy probes, about: 40 each 200 ms. Of more each is
	// watched by a part of the proxies, of WatchMost targets by all.
	WatchMost = 40
	Watchers  = 8
	// ProbeMisses in a row make an ejection; the source's two.
	ProbeMisses = 2
	// BarTTL is the source's 30 s, after which an ejection lapses by itself.
	EjectionTTL = 30 * time.Second
	// BarMaxTTL is the longest ejection that a policy may ask for.
	EjectionMaxTTL = 10 * time.Minute
	// ReconcileEvery is the source's 10 s full rewrite.
	ReconcileEvery = 10 * time.Second
	// BeatEvery is what back ends are told to keep to.
	BeatEvery = 500 * time.Millisecond
	// BeatLapse is how long a target may be silent before it no longer counts as beating:
	// three beats and a little, and with one push still under the 2 s rule, since a service
	// whose targets are all ejected is served by those that beat.
	BeatLapse = 1600 * time.Millisecond
	// SeenEvery is how often what proxies saw of a target becomes one event for the policies:
	// Window of them reach back over RetryWindow.
	SeenEvery = 500 * time.Millisecond
	// TargetGone is how long silence and missed probes together last before the entry goes.
	TargetGone = 20 * time.Second
	// ProofWords beats over ProofSpan prove that a target is there when no probe reaches it: a
	// late word comes once, a repeated one with its first, who lives beats every BeatEvery.
	ProofWords = 3
	ProofSpan  = 900 * time.Millisecond
	// WordWait is how long a word that says leaving or gone may wait until a majority of the proxies
	// has confirmed it: who says it goes to the next daemon after 1 s.
	TargetReportWait = 850 * time.Millisecond
	// WordAgain is after what time such a word is passed to the leader once more, if no answer came.
	TargetReportRetry = 200 * time.Millisecond
	// NameMax bounds a domain's name in bytes.
	NameMax = 128
	// SlotsMax and ColdMax bound what a target may say of itself: far over any real one.
	SlotsMax = 1000000
	ColdMax  = time.Hour
	// NamesKept is how many names of targets that are gone a leader remembers the places of.
	NamesKept = 4096
	// TombKeep is how long after its last word a signed-off or superseded incarnation is refused.
	TombstoneKeep = 2 * time.Minute
	// Window is the longest look back that a policy's condition has, in samples.
	Window = 32
	// PolicyNodes bounds a condition's size.
	PolicyNodes = 200
	// PolicyMemory bounds what one evaluation may allocate, in the library's units.
	PolicyMemory = 10000
	// PolicyMax is how many policies may be in force.
	PolicyMax = 16
)

// Carrying requests.
const (
	// RetryWindow and RetryShare are the brief's: a fifth of the traffic in any 10 s.
	RetryWindow = 10 * time.Second
	RetryShare  = 5
	// RetryCost is what a retry costs in requests, a little over RetryShare, so that what may be
	// saved up, a RetryBurst-th of the last 10 s, still fits: 1/6 + 1/60 = 0.18, under a fifth.
	RetryCost  = 6
	RetryBurst = 60
	// RetryFree is the small allowance of retries per service, split over the proxies, at least one each.
	RetryFree = 10
	// TriesMax is how often one request may be sent in all.
	TriesMax = 3
	// ChoiceLife is how long after a target was chosen a request may begin to be written to it: a
	// new connection's time and a little. A process that freezes in between sends nothing on an old choice.
	ChoiceLife = DialCap + 100*time.Millisecond
	// DialCap is how long opening a connection and checking its identity may take.
	DialCap = 500 * time.Millisecond
	// ConnectCap is how long a connection to a target may take to open: over any round trip between
	// domains, under what a lost first packet costs anyway. Nothing was sent, so another is chosen.
	ConnectCap = 100 * time.Millisecond
	// DarkAfter is after what time without an answer it is looked, each DarkEvery, whether the target
	// is known to be out of reach: two missed probes take longer.
	DarkAfter = 300 * time.Millisecond
	DarkEvery = 60 * time.Millisecond
	// OpensMax is how many choices of one request may end before anything is sent. They do not count
	// as its attempts, which are targets that it was sent to.
	OpensMax = 4
	// Shun is how long a target that refused a connection is used last by that proxy.
	AvoidFor = time.Second
	// ClosedBar is how long a proxy leaves a target out after two connections in a row could not be
	// opened: the design's two misses, seen from where they hurt, until the leader's word comes.
	ClosedEjection = 3 * time.Second
	// BodyMax is the default bound of a caller's body in bytes.
	BodyMax = 1 << 20
	// ReplayMax is the largest body, in bytes, kept so that a safe request can be sent again.
	ReplayMax = 64 << 10
	// TimeoutMaxMs bounds a route's times: ten minutes.
	TimeoutMaxMs = 600000
	// TimeoutMs is the default deadline of a request.
	TimeoutMs = 5000
	// CapDefault is the default number of requests in flight per target over all proxies.
	CapDefault = 64
	// WarmDefault is the same for a warming target.
	WarmDefault = 4
	// RampUp is over what time a target's cap grows from its warming one to the full one.
	RampUp = 3 * time.Second
	// RetryAfterMin and RetryAfterSpan make the Retry-After of a refusal, spread by request.
	RetryAfterMin  = time.Second
	RetryAfterSpan = 3 * time.Second
	// PipeIdle is how long an unused connection to a back end is kept: under the 5 s after which common
	// servers close theirs, so that a request seldom meets the close under way.
	ConnIdle = 4 * time.Second
	// AheadMax is how many requests of one caller's connection are begun before those ahead of them
	// are answered; AheadRead is how much of it is looked at, in bytes: some usual headers.
	AheadMax  = 8
	AheadRead = 2 << 10
	// CallerIdle is how long a caller's unused connection is kept.
	CallerIdle = 60 * time.Second
	// CallerHeader is how long a caller's header may take to come: three lost words' time.
	CallerHeader = 3 * BeatLapse
	// IdleSlack is how much longer than it is told an unused connection of a caller's is kept: who
	// believes in the bound never writes on one that is being closed.
	IdleSlack = time.Second
	// PipesIdleMax is how many unused connections are kept per target: targets bound the connections from all
	// proxies together, and some hold a slot for each.
	IdleConnsMax = 8
	// ConnParts: a proxy keeps at most this part of the connections that a target takes from all, so that
	// idle ones of many proxies leave room for new ones.
	ConnParts = 16
	// TryLeast is the time that another try after a target's own failure needs: a few hops and a short answer.
	TryLeast = 25 * time.Millisecond
	// OnceIdle is how long a connection may have been unused for a request that must not run twice: a
	// target that closes it meanwhile, or has gone dark, leaves the request unknown; a new connection finds
	// that out before anything is sent.
	OnceIdle = 200 * time.Millisecond
	// AliveMargin is how much sooner than a target says it keeps a connection the connection is given up: a
	// hop each way, and clocks and queues in between.
	AliveMargin = 500 * time.Millisecond
	// Unacked is how long what was sent on a connection to a target or daemon may stay unacknowledged
	// before it is broken: the rule's 2 s.
	Unacked = 2 * time.Second
	// CallerUnacked is the same for callers, over the pauses of one who reads slowly.
	CallerUnacked = 10 * time.Second
	// AliveIdle, AliveEvery and AliveCount: a silent connection's other side is asked after 2 s, then
	// each second, and is gone after three without an answer.
	AliveIdle  = 2 * time.Second
	AliveEvery = time.Second
	AliveCount = 3
	// InterimMax is how many interim answers may come before the answer.
	InterimMax = 5
	// AnswerHeld is the largest answer in bytes that is read whole before its caller gets any of
	// it, so that one that is cut can be made up for: what most interfaces answer with.
	AnswerHeld = 64 << 10
	// NetHop is kept back from the time that is passed on: a target's last word has to travel.
	NetHop = 5 * time.Millisecond
	// CallerBody is what a caller may send, in bytes, to services whose targets are asked for their health.
	CallerBody = 64 << 20
	// ProbeBody bounds what is read of an answer to a probe, in bytes.
	ProbeBody = 4 << 10
	// ProbePipe is how long a connection for probes is kept without one: a target that is gone leaves none.
	ProbeConnIdle = 10 * time.Second
	// AimMinutes is the longest window of a service-level aim, in minutes: proxies keep it in memory.
	AimMinutes = 60
	// HeaderMax bounds a caller's header in bytes.
	HeaderMax = 32 << 10
	// RetryEarn and RetrySave, parts of the retry ratio: what each request earns at once, and what of
	// the window before may be saved up. Together with rounding they stay under the whole.
	RetryEarn = 0.85
	RetrySave = 0.1
	// CountSlices is in how many slices a window's requests are counted.
	CountSlices = 20
	// FullPause is how long a target that said it is full is left out: less than a usual request,
	// one of which ends meanwhile.
	FullPause = 70 * time.Millisecond
	// LoadLife is how long what a target told of its load counts, less and less.
	LoadLife = time.Second
	// PaceLife is how long a target's past speed counts, less and less, so that a slow one is tried
	// again; PaceWeight is a request's part in it, the first ones' more: times vary as much as speeds.
	PaceLife   = 20 * time.Second
	PaceWeight = 0.1
	// PaceUrge is how much of a target's slowness counts beside its load, PaceMost the most that does:
	// as long as a slot is free, a full target is no slower than an empty one.
	PaceUrge = 1.0
	PaceMost = 1.5
	// PipeUrge is what an open connection is worth beside a target's load.
	ConnUrge = 0.1
	// MeanWeight is a request's part in its route's mean time, once a few have been seen.
	MeanWeight = 0.05
	// BorrowParts of its even part of the slots, and BorrowMore requests, is what a proxy may have at
	// a service's targets in any case, so that queues before them stay short; as long as none
	// says that it is full, up to BorrowMost parts.
	BorrowParts = 1.5
	BorrowMore  = 1
	BorrowMost  = 3
	// WindowCut is what is left of that window when a target says that it is full.
	WindowCut = 0.8
	// PressLife is how long after a sign of it a service counts as under pressure.
	PressLife = time.Second
	// Ranks is how many priorities are told apart; RankRoom the part of the window that each leaves
	// to those before it while there is pressure.
	Ranks    = 4
	RankRoom = 0.1
	// WaitPart of a route's aim is how long a request may wait for a target: a refusal after that
	// is a late one. A route without an aim has WaitAim of its timeout in its place.
	WaitPart = 4
	WaitAim  = 4
	// QueueMin is how many may wait for a service's targets in any case.
	QueueMin = 2
	// RefuseMin is the least that a refusal asks a caller to stay away; RefuseLeft the part of what the
	// caller has left that it may ask at most.
	RefuseMin  = 20 * time.Millisecond
	RefuseLeft = 3
	// StopLingerMost is how long it serves on where the time until it is ended by force is known and
	// long enough: two misses of a look each second, and a little. StopMargin is what it leaves of that time.
	StopLingerMost = 3 * time.Second
	StopMargin     = 300 * time.Millisecond
	// StopLast is how long a proxy whose grace is known waits for its callers' connections to close, after
	// its last request: within what the owner leaves of the grace.
	StopLast = 200 * time.Millisecond
	// StopWait is how long a stopping proxy finishes its requests, and StopLinger how long it
	// serves on after going unready so that callers can move away.
	StopWait   = 20 * time.Second
	StopLinger = 1500 * time.Millisecond
)

// Processes.
const (
	// TickEvery is the owners' heartbeat.
	TickEvery = 20 * time.Millisecond
	// SendQueue is how many messages may wait for one connection, and SendLate how long: a lease that
	// comes later is of no use, and old words would keep new ones waiting.
	SendQueue = 64
	SendLate  = 500 * time.Millisecond
	// PackedTables is how many of the tables last sent are kept in the form in which they are sent: the
	// whole one, the one without document, and changes to the latest few.
	PackedTables = 8
	// WireBuffer is what a connection between daemons has for reading and for writing, in bytes: some
	// small messages, since a member has such connections to all proxies.
	WireBuffer = 4 << 10
	// EventQueue is how many events may wait for an owner.
	EventQueue = 4096
	// RingFiles and RingFileSize bound a member's disk: 3 files of 8 MiB.
	RingFiles    = 3
	RingFileSize = 8 << 20
	// RingPiece is how much of a file, in bytes, is in memory while it is looked through at a start.
	RingPiece = 256 << 10
	// Redial is how long after a connection to a daemon could not be opened the next is tried: daemons that
	// start together find each other within it, and there is no more to send than what is said again.
	Redial = 20 * time.Millisecond
	// SettingsEvery is how often a settings file is looked at for changes.
	SettingsEvery = 2 * time.Second
	// MemoryShare of a process's memory is what the runtime may fill, and GcPercent how much garbage
	// may lie beside what lives (the runtime's own is 100): small machines, where memory is dear.
	MemoryShare = 0.7
	GcPercent   = 60
	// StreamBuffer is how many decisions wait for a slow reader before it is told what it missed.
	StreamBuffer = 512
	// LineMax bounds a line of the judge's stream in bytes, DeskTargets the targets of one stream,
	// Desks the streams at once on one daemon, and DeskKept is how long one that broke off can be resumed.
	LineMax     = 256 << 10
	DeskTargets = 4096
	Desks       = 16
	DeskKept    = 2 * time.Minute
	// EventsKept is how many target events a leader keeps for readers that resume.
	EventsKept = 4096
)
