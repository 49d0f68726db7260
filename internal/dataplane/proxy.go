// Package dataplane is the owner of a proxy daemon: its table and lease, the choice
// of a target for each request, waiting, retries and their budget, and what it
// does when the leader is out of reach, as one pure Step(now, event) -> commands.
//
// A proxy serves only on a table that is known to be fresh. Granted: the leader
// answered a pull that was sent less than a lease ago. Orphan: no lease, but a
// majority of the roster's proxies, itself included, answered within a touch
// lease, and it has taken the highest table among them; since the leader calls a
// change in force only when a majority has confirmed it and all other leases
// have lapsed, a proxy that serves on its peers can't miss it. Otherwise it is cut and refuses.
package dataplane

import (
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// State is by what right a proxy serves, if it does.
type State int

// The states.
const (
	NoTable State = iota // no table yet
	Leased
	PeerServing
	Isolated
)

func (s State) String() string { return [...]string{"cold", "granted", "orphan", "cut"}[s] }

// Settings are what a proxy is told at its start.
type Settings struct {
	Self  wire.Daemon
	Seeds []string
	Retry RetryBudget // of the whole fleet; without a window: limit's
	// GracePeriod is how long after being asked to stop the process is ended by force, 0: not
	// known, and tuning.StopWait is what a stop takes at most.
	GracePeriod time.Duration
	// ReadyWhenEmptied has an emptied domain's proxy go on asking for callers.
	ReadyWhenEmptied bool
}

// RetryBudget bounds what a service's targets get beyond the first target of each request:
// over all proxies, in any window, a ratio of the requests and a little slack.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

type targetState struct {
	wire.Target
	ejectedUntil         time.Duration       // the table's ejection
	ownEjectionUntil     time.Duration       // a proxy that serves on its peers's ejection, from its own probes
	ejectedAsUnreachable bool                // the table's ejection is for missed probes
	leaving              bool                // heard here that it leaves
	heartbeats           targetreport.Streak // what was heard here of its beats
	successor            *targetState        // a later start of it that claims its place while no leader can say
	avoidedUntil         time.Duration
	reinstatedAt         time.Duration // when an ejection was lifted
	readyAt              time.Duration // when it ended its warming
	newToFleet           bool          // it came to the table of a proxy with a lease: nothing older runs there
	warmingShare         int           // this proxy's part of its warming cap, and, until riseAt, the most that it may use
	nextWarmingShare     int           // the greater part that holds from then on
	warmingShareRisesAt  time.Duration
	inFlight             int
	failedConnects       int // connections in a row that could not be opened
	missedProbes         int
	probedAt             time.Duration
	probePendingSince    time.Duration
	lastServedAt         time.Duration // when it last answered a request of this proxy
	indirectProbe        bool          // the leader has asked for a probe and not heard of an answer
	statistics           wire.TargetStats

	slots             int  // requests at once, as told
	quota             int  // those of them that are dealt to this proxy
	capped            bool // they are the operator's cap: nothing is borrowed
	local             bool
	warmupUntil       time.Duration
	warmupInterval    time.Duration // between this proxy's requests while it is cold, 0: none
	nextWarmupAt      time.Duration
	fullUntil         time.Duration // it said that it is full
	otherLoad         float64       // what it told of its load besides this proxy's
	loadReportedAt    time.Duration
	latencyRatio      float64 // how its times compare with its routes', 1: as usual
	latencySamples    int     // how many requests told of it
	latencyObservedAt time.Duration
	lastUsedAt        time.Duration
}

type request struct {
	id             uint64
	serviceName    string
	routeName      string
	route          config.Route
	priority       int           // what it goes by: its route's, unless that starves
	arrivedAt      *serviceState // where it was counted when it came
	routeState     *routeState
	startedAt      time.Duration
	deadline       time.Duration
	timeoutUnknown bool // how long the caller waits was not said
	queuedUntil    time.Duration
	queued         bool
	target         *targetState
	attempts       int // choices that may have been sent to their targets
	failedConnects int // choices that ended before anything was sent
	triedTargets   []wire.TargetID
	lastOutcome    statemachine.Outcome // of the latest try
	forwarded      bool                 // it has been given to a target and has earned its service credit
	isRetry        bool                 // something of it has reached a target: a further one draws on the budget
	serviceConfig  config.Service
}

// tally counts an aim's requests by the minute.
type objectiveCounts struct {
	minutes [tuning.ObjectiveMinutes]struct{ minute, good, all int }
}

type serviceState struct {
	inFlight     int
	queue        []uint64
	retryCredit  retryCredit
	targets      []*targetState // sorted
	quotaTargets []*targetState // those of them with slots that are dealt to this proxy
	reportsSlots bool           // its targets tell their slots
	evenQuota    float64        // this proxy's even part of all slots
	window       float64        // how many of its requests may be at targets now
	pressureAt   time.Duration
	lastArrivals [tuning.PriorityLevels]time.Duration // when requests of each priority last came
	meanMs       float64                              // ms that its requests take
	fairness     fairness
}

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

// Proxy is the state machine of a proxy daemon.
type Proxy struct {
	settings             Settings
	directory            discovery.Directory
	lastHelloAt          time.Duration
	lastPullAt           time.Duration
	lastPeerPollAt       time.Duration
	state                State
	table                *wire.Table
	leaderEpoch          uint64
	leaderTerm           uint64 // highest leader heard, with epoch
	leaseUntil           time.Duration
	joined               bool
	leaderWantsTable     bool
	pullAtNextTick       bool // the next tick pulls: the leader waits for what is to be told
	peerConfirmedAt      map[string]time.Duration
	peerAskedAt          map[string]time.Duration // when peers were last asked
	peerTableAskedAt     time.Duration            // when a peer was last asked for its table
	leaderHeardAt        time.Duration            // when a leader last said anything
	reportedSelf         wire.Daemon              // what it was last told of this one, and which leader that was
	reportedTo           string
	recoveredStateSentAt map[string]time.Duration // when core daemons were last told what is remembered here, by name and process
	configuration        *config.Config
	revision             uint64
	reportedInvalid      invalidDocument // the one reported last
	targets              map[wire.TargetID]*targetState
	liveProxies          []string // proxies that share caps, and all of the roster
	memberProxies        []string
	eligibleBuffer       []*targetState // room for choices
	lastResortBuffer     []*targetState
	leavingSince         map[wire.TargetID]time.Duration
	services             map[string]*serviceState
	requests             map[uint64]*request
	objectives           map[string]*objectiveCounts
	routes               map[string]*routeState // what is kept by route
	nameHash             uint64
	reindexAt            time.Duration // when the next target ends being cold, or a part of a warming one grows, 0: never
	rotation             uint64
	stopping             bool
	acceptingStopped     bool // it stops and takes no more requests
	stopRequestedAt      time.Duration
	commands             []statemachine.Command
	unreachable          map[wire.TargetID]bool
	Counts               Counts
}

// New returns a proxy that has just started and knows no table.
func New(set Settings) *Proxy {
	if set.Retry.Window < tuning.WindowBuckets {
		set.Retry = RetryBudget{1 / float64(tuning.RetryShare), tuning.RetryWindow, tuning.RetryFree}
	}
	return &Proxy{settings: set, routes: map[string]*routeState{}, nameHash: hashOf(set.Self.Name), directory: discovery.Directory{}, peerConfirmedAt: map[string]time.Duration{}, peerAskedAt: map[string]time.Duration{}, recoveredStateSentAt: map[string]time.Duration{}, configuration: &config.Config{},
		targets: map[wire.TargetID]*targetState{}, leavingSince: map[wire.TargetID]time.Duration{}, services: map[string]*serviceState{}, requests: map[uint64]*request{}, objectives: map[string]*objectiveCounts{}, leaseUntil: -1}
}

func (p *Proxy) emit(cmd statemachine.Command) { p.commands = append(p.commands, cmd) }

// Step is the owner: one event in, commands out.
func (p *Proxy) Step(now time.Duration, ev statemachine.Event) []statemachine.Command {
	p.updateState(now) // time may have passed since the last step, and with it a lease
	switch e := ev.(type) {
	case statemachine.Receive:
		p.receive(now, e.Message)
	case statemachine.Tick:
		p.tick(now)
	case statemachine.ProbeResult:
		p.handleProbeResult(now, e)
	case statemachine.Call:
		p.answerCall(now, e)
	case statemachine.Stop:
		p.beginShutdown(now)
	case statemachine.Admit:
		p.admit(now, e)
	case statemachine.Retry:
		p.retry(now, e)
	case statemachine.AttemptDone:
		p.attemptDone(now, e)
	case statemachine.Cancel:
		p.cancel(now, e)
	}
	p.updateState(now)
	o := p.commands
	p.commands = nil
	return o
}

// judge sets the state from what is known at this moment.
func (p *Proxy) updateState(now time.Duration) {
	switch {
	case p.table == nil:
		p.setState(now, NoTable, "no table")
	case now < p.leaseUntil:
		p.setState(now, Leased, "the leader answers")
	case p.hasPeerMajority(now):
		p.joined = true
		p.setState(now, PeerServing, "a majority of proxies answers")
	default:
		p.setState(now, Isolated, "neither the leader nor a majority of proxies answers")
	}
}

func (p *Proxy) setState(now time.Duration, s State, why string) {
	if s == p.state {
		return
	}
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectProxy, From: p.state.String(), To: s.String(), Reason: why})
	p.state = s
	p.reindex(now)
	if s == Leased {
		// The leader judges again, and has taken in what was seen here meanwhile.
		for _, t := range p.targets {
			t.missedProbes, t.probePendingSince, t.probedAt, t.ownEjectionUntil = 0, 0, 0, 0
		}
	}
}

// Serving says whether requests may be admitted now.
func (p *Proxy) Serving() bool { return p.state == Leased || p.state == PeerServing }

// Ready is what the platform is told: an emptied domain's proxy serves on but
// asks for no more callers.
func (p *Proxy) Ready() bool {
	return p.Serving() && !p.stopping && (p.settings.ReadyWhenEmptied || !slices.Contains(p.table.EmptiedDomains, p.settings.Self.Domain))
}

// State returns by what right it serves.
func (p *Proxy) State() State { return p.state }

// Table returns the table that it stands on, nil: none yet.
func (p *Proxy) Table() *wire.Table { return p.table }

// InFlight returns how many requests are under way.
func (p *Proxy) InFlight() int { return len(p.requests) }

func (p *Proxy) send(name string, m *wire.Message) {
	if k := p.directory[name]; k != nil && name != p.settings.Self.Name {
		m.To, m.From = name, p.settings.Self.Name
		p.emit(statemachine.Send{Addr: k.Addr, Message: m})
	}
}

func (p *Proxy) selfReport() wire.Daemon {
	d := p.settings.Self
	d.State, d.Ready = p.state.String(), p.table != nil && p.Ready()
	if p.table != nil {
		d.Epoch = p.table.Key.Epoch
	}
	return d
}

func (p *Proxy) receive(now time.Duration, m *wire.Message) {
	wire.DiscardNonFinite(m)
	switch m.Kind {
	case wire.KindHello:
		if m.Hello == nil {
			return
		}
		led := p.leader(now)
		p.directory.Merge(now, p.settings.Self.Name, m.Hello)
		if l := p.leader(now); l != led && l == m.From && now > p.lastPullAt {
			p.pullTable(now) // the leader waits for what proxies hold, and they for its lease
		}
		if !m.Hello.Reply {
			h := &wire.Hello{Self: p.selfReport(), Reply: true, Daemons: p.directory.Daemons()}
			p.send(m.From, &wire.Message{Kind: wire.KindHello, Hello: h})
		}
	case wire.KindPush:
		if m.Push != nil {
			p.handlePush(now, m)
		}
	case wire.KindPull:
		p.answerPeer(now, m)
	case wire.KindHeartbeat:
		if m.Heartbeat != nil {
			p.handleHeartbeat(now, *m.Heartbeat)
		}
	}
}

func (p *Proxy) tick(now time.Duration) {
	if now-p.lastHelloAt >= tuning.HelloLeasedEvery || now-p.lastHelloAt >= tuning.HelloEvery && p.doubtsLeader(now) {
		p.sendHellos(now)
	}
	if now-p.lastPullAt >= tuning.PullEvery || p.pullAtNextTick {
		p.pullTable(now)
	}
	if p.table != nil && p.hasNoLeader(now) && now-p.lastPeerPollAt >= tuning.PullEvery {
		p.lastPeerPollAt = now
		p.pollPeers(now)
	}
	if p.state != NoTable && p.hasNoLeader(now) {
		p.checkHealth(now)
	}
	if p.reindexAt > 0 && now >= p.reindexAt {
		p.reindex(now)
	}
	p.processQueues(now)
	p.reportUnreachable(now)
	p.tickShutdown(now)
}

// Seeds replaces the seed addresses.
func (p *Proxy) SetSeeds(s []string) { p.settings.Seeds = s }

// Revision is the configuration's that this proxy serves by.
func (p *Proxy) Revision() uint64 { return p.revision }
