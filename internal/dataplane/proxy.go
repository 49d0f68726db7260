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

type target struct {
	wire.Target
	ejectedUntil time.Duration       // the table's ejection
	ownEjection  time.Duration       // a proxy that serves on its peers's ejection, from its own probes
	unheard      bool                // the table's ejection is for missed probes
	held         bool                // heard here that it leaves
	streak       targetreport.Streak // what was heard here of its beats
	successor    *target             // a later start of it that claims its place while no leader can say
	avoidUntil   time.Duration
	backAt       time.Duration // when an ejection was lifted
	warmAt       time.Duration // when it ended its warming
	anew         bool          // it came to the table of a proxy with a lease: nothing older runs there
	warmPart     int           // this proxy's part of its warming cap, and, until riseAt, the most that it may use
	warmNext     int           // the greater part that holds from then on
	riseAt       time.Duration
	inflight     int
	closed       int // connections in a row that could not be opened
	misses       int
	probeAt      time.Duration
	sentAt       time.Duration
	answeredAt   time.Duration // when it last answered a request of this proxy
	indirect     bool          // the leader has asked for a probe and not heard of an answer
	seen         wire.TargetStats

	slots     int  // requests at once, as told
	part      int  // those of them that are dealt to this proxy
	strict    bool // they are the operator's cap: nothing is borrowed
	near      bool
	coldUntil time.Duration
	coldGap   time.Duration // between this proxy's requests while it is cold, 0: none
	coldNext  time.Duration
	fullTill  time.Duration // it said that it is full
	others    float64       // what it told of its load besides this proxy's
	loadAt    time.Duration
	pace      float64 // how its times compare with its routes', 1: as usual
	paces     int     // how many requests told of it
	paceAt    time.Duration
	usedAt    time.Duration
}

type request struct {
	id       uint64
	svc      string
	name     string
	route    config.Route
	priority int      // what it goes by: its route's, unless that starves
	askedAt  *service // where it was counted when it came
	way      *routeState
	start    time.Duration
	deadline time.Duration
	unknown  bool // how long the caller waits was not said
	waitTill time.Duration
	waiting  bool
	at       *target
	tries    int // choices that may have been sent to their targets
	opens    int // choices that ended before anything was sent
	tried    []wire.TargetID
	last     statemachine.Outcome // of the latest try
	earned   bool                 // it has been given to a target and has earned its service credit
	repeat   bool                 // something of it has reached a target: a further one draws on the budget
	set      config.Service
}

// tally counts an aim's requests by the minute.
type aimCounts struct {
	minutes [tuning.ObjectiveMinutes]struct{ minute, good, all int }
}

type service struct {
	inflight int
	queue    []uint64
	budget   budget
	targets  []*target // sorted
	own      []*target // those of them with slots that are dealt to this proxy
	slotted  bool      // its targets tell their slots
	even     float64   // this proxy's even part of all slots
	window   float64   // how many of its requests may be at targets now
	pressAt  time.Duration
	ranks    [tuning.PriorityLevels]time.Duration // when requests of each priority last came
	mean     float64                              // ms that its requests take
	fair     fairness
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
	settings     Settings
	directory    discovery.Directory
	helloAt      time.Duration
	pullAt       time.Duration
	touchAt      time.Duration
	state        State
	table        *wire.Table
	epoch        uint64
	term         uint64 // highest leader heard, with epoch
	leaseUntil   time.Duration
	settled      bool
	want         bool
	telling      bool // the next tick pulls: the leader waits for what is to be told
	peerAnswers  map[string]time.Duration
	asked        map[string]time.Duration // when peers were last asked
	wantAt       time.Duration            // when a peer was last asked for its table
	wordAt       time.Duration            // when a leader last said anything
	said         wire.Daemon              // what it was last told of this one, and which leader that was
	saidTo       string
	memoryToldAt map[string]time.Duration // when core daemons were last told what is remembered here, by name and process
	cfg          *config.Config
	revision     uint64
	unsound      unsoundDocument // the one reported last
	targets      map[wire.TargetID]*target
	alive        []string // proxies that share caps, and all of the roster
	listed       []string
	open         []*target // room for choices
	barred       []*target
	leaving      map[wire.TargetID]time.Duration
	services     map[string]*service
	requests     map[uint64]*request
	aims         map[string]*aimCounts
	routeStates  map[string]*routeState // what is kept by route
	salt         uint64
	coldEnd      time.Duration // when the next target ends being cold, or a part of a warming one grows, 0: never
	turn         uint64
	stopping     bool
	intakeClosed bool // it stops and takes no more requests
	stopAt       time.Duration
	out          []statemachine.Command
	dark         map[wire.TargetID]bool
	Counts       Counts
}

// New returns a proxy that has just started and knows no table.
func New(set Settings) *Proxy {
	if set.Retry.Window < tuning.WindowBuckets {
		set.Retry = RetryBudget{1 / float64(tuning.RetryShare), tuning.RetryWindow, tuning.RetryFree}
	}
	return &Proxy{settings: set, routeStates: map[string]*routeState{}, salt: hash(set.Self.Name), directory: discovery.Directory{}, peerAnswers: map[string]time.Duration{}, asked: map[string]time.Duration{}, memoryToldAt: map[string]time.Duration{}, cfg: &config.Config{},
		targets: map[wire.TargetID]*target{}, leaving: map[wire.TargetID]time.Duration{}, services: map[string]*service{}, requests: map[uint64]*request{}, aims: map[string]*aimCounts{}, leaseUntil: -1}
}

func (g *Proxy) emit(cmd statemachine.Command) { g.out = append(g.out, cmd) }

// Step is the owner: one event in, commands out.
func (g *Proxy) Step(now time.Duration, ev statemachine.Event) []statemachine.Command {
	g.updateState(now) // time may have passed since the last step, and with it a lease
	switch e := ev.(type) {
	case statemachine.Receive:
		g.recv(now, e.Message)
	case statemachine.Tick:
		g.tick(now)
	case statemachine.ProbeResult:
		g.probed(now, e)
	case statemachine.Call:
		g.ask(now, e)
	case statemachine.Stop:
		g.beginStop(now)
	case statemachine.Admit:
		g.admit(now, e)
	case statemachine.Retry:
		g.again(now, e)
	case statemachine.AttemptDone:
		g.done(now, e)
	case statemachine.Cancel:
		g.cancel(now, e)
	}
	g.updateState(now)
	o := g.out
	g.out = nil
	return o
}

// judge sets the state from what is known at this moment.
func (g *Proxy) updateState(now time.Duration) {
	switch {
	case g.table == nil:
		g.setState(now, NoTable, "no table")
	case now < g.leaseUntil:
		g.setState(now, Leased, "the leader answers")
	case g.inTouch(now):
		g.settled = true
		g.setState(now, PeerServing, "a majority of proxies answers")
	default:
		g.setState(now, Isolated, "neither the leader nor a majority of proxies answers")
	}
}

func (g *Proxy) setState(now time.Duration, s State, why string) {
	if s == g.state {
		return
	}
	g.emit(statemachine.StateChange{Subject: statemachine.SubjectProxy, From: g.state.String(), To: s.String(), Reason: why})
	g.state = s
	g.index(now)
	if s == Leased {
		// The leader judges again, and has taken in what was seen here meanwhile.
		for _, t := range g.targets {
			t.misses, t.sentAt, t.probeAt, t.ownEjection = 0, 0, 0, 0
		}
	}
}

// Serving says whether requests may be admitted now.
func (g *Proxy) Serving() bool { return g.state == Leased || g.state == PeerServing }

// Ready is what the platform is told: an emptied domain's proxy serves on but
// asks for no more callers.
func (g *Proxy) Ready() bool {
	return g.Serving() && !g.stopping && (g.settings.ReadyWhenEmptied || !slices.Contains(g.table.EmptiedDomains, g.settings.Self.Domain))
}

// State returns by what right it serves.
func (g *Proxy) State() State { return g.state }

// Table returns the table that it stands on, nil: none yet.
func (g *Proxy) Table() *wire.Table { return g.table }

// InFlight returns how many requests are under way.
func (g *Proxy) InFlight() int { return len(g.requests) }

func (g *Proxy) send(name string, m *wire.Message) {
	if k := g.directory[name]; k != nil && name != g.settings.Self.Name {
		m.To, m.From = name, g.settings.Self.Name
		g.emit(statemachine.Send{Addr: k.Addr, Message: m})
	}
}

func (g *Proxy) self() wire.Daemon {
	d := g.settings.Self
	d.State, d.Ready = g.state.String(), g.table != nil && g.Ready()
	if g.table != nil {
		d.Epoch = g.table.Key.Epoch
	}
	return d
}

func (g *Proxy) recv(now time.Duration, m *wire.Message) {
	wire.DiscardNonFinite(m)
	switch m.Kind {
	case wire.KindHello:
		if m.Hello == nil {
			return
		}
		led := g.leader(now)
		g.directory.Merge(now, g.settings.Self.Name, m.Hello)
		if l := g.leader(now); l != led && l == m.From && now > g.pullAt {
			g.pull(now) // the leader waits for what proxies hold, and they for its lease
		}
		if !m.Hello.Reply {
			h := &wire.Hello{Self: g.self(), Reply: true, Daemons: g.directory.Daemons()}
			g.send(m.From, &wire.Message{Kind: wire.KindHello, Hello: h})
		}
	case wire.KindPush:
		if m.Push != nil {
			g.push(now, m)
		}
	case wire.KindPull:
		g.peerAnswer(now, m)
	case wire.KindHeartbeat:
		if m.Heartbeat != nil {
			g.heardBeat(now, *m.Heartbeat)
		}
	}
}

func (g *Proxy) tick(now time.Duration) {
	if now-g.helloAt >= tuning.HelloLeasedEvery || now-g.helloAt >= tuning.HelloEvery && g.doubts(now) {
		g.hello(now)
	}
	if now-g.pullAt >= tuning.PullEvery || g.telling {
		g.pull(now)
	}
	if g.table != nil && g.hasNoLeader(now) && now-g.touchAt >= tuning.PullEvery {
		g.touchAt = now
		g.askPeers(now)
	}
	if g.state != NoTable && g.hasNoLeader(now) {
		g.watch(now)
	}
	if g.coldEnd > 0 && now >= g.coldEnd {
		g.index(now)
	}
	g.queues(now)
	g.darken(now)
	g.tickStop(now)
}

// Seeds replaces the seed addresses.
func (g *Proxy) SetSeeds(s []string) { g.settings.Seeds = s }

// Revision is the configuration's that this proxy serves by.
func (g *Proxy) Revision() uint64 { return g.revision }
