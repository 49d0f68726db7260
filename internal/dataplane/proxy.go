// Package proxy is the owner of a proxy daemon: its table and lease, the choice
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
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Events besides core.Recv, core.Tick, core.Probed, core.Ask and core.Stop,
// which both daemons share.
type (
	// Admit asks for a target for a new request.
	Admit struct {
		ID                 uint64
		Host, Path, Method string
		Timeout            time.Duration // what the caller still gives, 0: not said
		// Ahead: it comes behind another one on its connection. If it may run only once it
		// gets no target now and is refused with CodeNotAhead, and comes again in its turn.
		Ahead bool
	}
	// Again asks for another target after a try that may be repeated. Sent says
	// that something of the request had been written.
	Again struct {
		ID   uint64
		Sent bool
	}
	// Done ends a request's stay at its target.
	Done struct {
		ID      uint64
		Outcome Outcome
		Ms      float64
		Last    bool  // no Again will follow
		Load    *Load // what the target told of itself with the answer
	}
	// Cancel ends a request that is at no target or is to leave it: its client
	// has gone, or, Failed, its caller got an error.
	Cancel struct {
		ID     uint64
		Failed bool
	}
)

// Load is what a target tells of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how a request's stay at a target ended.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // a whole answer below 500
	Broken                 // an answer of 500 and above
	Lost                   // no answer, garbage, or one that was cut
	Closed                 // no connection could be opened; nothing was written
	Foreign                // another identity answered there; nothing was written
	Stale                  // the choice grew too old before anything was written
	Dropped                // the client went away
	NotRun                 // the target turned it away and says that it did not run
)

// Commands besides those shared with core.
type (
	// Give sends a request to a target.
	Give struct {
		ID      uint64
		Service string
		Set     config.Service
		Name    string       // the route's, "" for a rule
		Route   config.Route // what holds for the request; a rule's has its service's numbers
		Target  wire.Target
		Left    time.Duration // until the request's deadline
		Work    time.Duration // how long the target may work on it: Left, or less in a proxy that stops
		Till    time.Duration // nothing of it may be written to this target later than this
		More    bool          // it has attempts left after this one
		Connect time.Duration // how long a connection to the target may take to open
		Idle    int           // how many unused connections to the target may be kept after it
	}
	// Refuse is a request's final answer, given before anything was sent on its behalf
	// (or, after Again, after a try that its caller has classified).
	Refuse struct {
		ID      uint64
		Status  int
		Retry   time.Duration // when to come back, 0: not said
		Code    string
		Message string
		Allowed []string
	}
	// Leave has each answer from now on end its caller's connection: the proxy stops.
	Leave struct{}
	// CloseIntake ends the taking of requests, on new connections and on open ones. What was read before has
	// Left to be answered.
	CloseIntake struct{ Left time.Duration }
	// Dark is the targets that are ejected because nothing reaches them: a request that may
	// be repeated and has no answer from one yet need not wait for it.
	Dark struct{ IDs map[wire.ID]bool }
	// Targets is the table's targets; no connection to any other may be used again. Limits are
	// what its configuration bounds callers by, nil: nothing.
	Targets struct {
		Live   map[wire.ID]string
		Limits *config.Limits
	}
)

// CodeNotAhead refuses a request that may run only once and was admitted ahead of its turn.
const CodeNotAhead = "not_ahead"

// State is by what right a proxy serves, if it does.
type State int

// The states.
const (
	Cold State = iota // no table yet
	Granted
	PeerServing
	Isolated
)

func (s State) String() string { return [...]string{"cold", "granted", "orphan", "cut"}[s] }

// Settings are what a proxy is told at its start.
type Settings struct {
	Self  wire.Daemon
	Seeds []string
	Retry Retry // of the whole fleet; without a window: limit's
	// Grace is how long after being asked to stop the process is ended by force, 0: not
	// known, and limit.StopWait is what a stop takes at most.
	Grace time.Duration
	// ReadyWhenEmptied has an emptied domain's proxy go on asking for callers.
	ReadyWhenEmptied bool
}

// Retry bounds what a service's targets get beyond the first target of each request:
// over all proxies, in any window, a ratio of the requests and a little slack.
type Retry struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

type target struct {
	wire.Target
	ejectedUntil time.Duration                // the table's ejection
	ownEjection  time.Duration                // a proxy that serves on its peers's ejection, from its own probes
	unheard      bool                         // the table's ejection is for missed probes
	held         bool                         // heard here that it leaves
	streak       controlplane.HeartbeatStreak // what was heard here of its beats
	successor    *target                      // a later start of it that claims its place while no leader can say
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
	seen         wire.Seen

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
	tried    []wire.ID
	last     Outcome // of the latest try
	earned   bool    // it has been given to a target and has earned its service credit
	repeat   bool    // something of it has reached a target: a further one draws on the budget
	set      config.Service
}

// tally counts an aim's requests by the minute.
type aimCounts struct {
	minutes [tuning.AimMinutes]struct{ minute, good, all int }
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
	ranks    [tuning.Ranks]time.Duration // when requests of each priority last came
	mean     float64                     // ms that its requests take
	fair     fairness
}

// Counts are the owner's counters.
type Counts struct {
	Admitted, Refused, Busy, NoTarget, NotServing, Stopping, Retries, RetriesDenied, Waited, Tables, StaleTables, StaleChoices, OwnBars, Shunned uint64
	UnsoundTables                                                                                                                                uint64 // tables refused because their configuration could not be read
	NoRoute, Dealt, Borrowed, ToCold, ColdWaits, Full, TooLate, Overtaken, LowRank, OnceKept, OtherShare                                         uint64
}

// Proxy is the state machine of a proxy daemon.
type Proxy struct {
	settings     Settings
	directory    controlplane.Directory
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
	targets      map[wire.ID]*target
	alive        []string // proxies that share caps, and all of the roster
	listed       []string
	open         []*target // room for choices
	barred       []*target
	leaving      map[wire.ID]time.Duration
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
	out          []any
	dark         map[wire.ID]bool
	Counts       Counts
}

// New returns a proxy that has just started and knows no table.
func New(set Settings) *Proxy {
	if set.Retry.Window < tuning.CountSlices {
		set.Retry = Retry{1 / float64(tuning.RetryShare), tuning.RetryWindow, tuning.RetryFree}
	}
	return &Proxy{settings: set, routeStates: map[string]*routeState{}, salt: hash(set.Self.Name), directory: controlplane.Directory{}, peerAnswers: map[string]time.Duration{}, asked: map[string]time.Duration{}, memoryToldAt: map[string]time.Duration{}, cfg: &config.Config{},
		targets: map[wire.ID]*target{}, leaving: map[wire.ID]time.Duration{}, services: map[string]*service{}, requests: map[uint64]*request{}, aims: map[string]*aimCounts{}, leaseUntil: -1}
}

func (g *Proxy) emit(cmd any) { g.out = append(g.out, cmd) }

// Step is the owner: one event in, commands out.
func (g *Proxy) Step(now time.Duration, ev any) []any {
	g.updateState(now) // time may have passed since the last step, and with it a lease
	switch e := ev.(type) {
	case controlplane.Recv:
		g.recv(now, e.M)
	case controlplane.Tick:
		g.tick(now)
	case controlplane.Probed:
		g.probed(now, e)
	case controlplane.Ask:
		g.ask(now, e)
	case controlplane.Stop:
		g.beginStop(now)
	case Admit:
		g.admit(now, e)
	case Again:
		g.again(now, e)
	case Done:
		g.done(now, e)
	case Cancel:
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
		g.setState(now, Cold, "no table")
	case now < g.leaseUntil:
		g.setState(now, Granted, "the leader answers")
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
	g.emit(controlplane.Change{What: "gate", From: g.state.String(), To: s.String(), Why: why})
	g.state = s
	g.index(now)
	if s == Granted {
		// The leader judges again, and has taken in what was seen here meanwhile.
		for _, t := range g.targets {
			t.misses, t.sentAt, t.probeAt, t.ownEjection = 0, 0, 0, 0
		}
	}
}

// Serving says whether requests may be admitted now.
func (g *Proxy) Serving() bool { return g.state == Granted || g.state == PeerServing }

// Ready is what the platform is told: an emptied domain's proxy serves on but
// asks for no more callers.
func (g *Proxy) Ready() bool {
	return g.Serving() && !g.stopping && (g.settings.ReadyWhenEmptied || !slices.Contains(g.table.Emptied, g.settings.Self.Domain))
}

// State returns by what right it serves.
func (g *Proxy) State() State { return g.state }

// Table returns the table that it stands on, nil: none yet.
func (g *Proxy) Table() *wire.Table { return g.table }

// InFlight returns how many requests are under way.
func (g *Proxy) InFlight() int { return len(g.requests) }

func (g *Proxy) send(name string, m *wire.Msg) {
	if k := g.directory[name]; k != nil && name != g.settings.Self.Name {
		m.To, m.From = name, g.settings.Self.Name
		g.emit(controlplane.Send{Addr: k.Addr, M: m})
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

func (g *Proxy) recv(now time.Duration, m *wire.Msg) {
	controlplane.DiscardUnsoundNumbers(m)
	switch wire.Kind(m.Kind) {
	case wire.KHello:
		if m.Hello == nil {
			return
		}
		led := g.leader(now)
		g.directory.Meet(now, g.settings.Self.Name, m.Hello)
		if l := g.leader(now); l != led && l == m.From && now > g.pullAt {
			g.pull(now) // the leader waits for what proxies hold, and they for its lease
		}
		if !m.Hello.Reply {
			h := &wire.Hello{Self: g.self(), Reply: true, Known: g.directory.List()}
			g.send(m.From, &wire.Msg{Kind: uint16(wire.KHello), Hello: h})
		}
	case wire.KPush:
		if m.Push != nil {
			g.push(now, m)
		}
	case wire.KPull:
		g.peerAnswer(now, m)
	case wire.KBeat:
		if m.Beat != nil {
			g.heardBeat(now, *m.Beat)
		}
	}
}

func (g *Proxy) tick(now time.Duration) {
	if now-g.helloAt >= tuning.HelloCalm || now-g.helloAt >= tuning.HelloEvery && g.doubts(now) {
		g.hello(now)
	}
	if now-g.pullAt >= tuning.PullEvery || g.telling {
		g.pull(now)
	}
	if g.table != nil && g.hasNoLeader(now) && now-g.touchAt >= tuning.PullEvery {
		g.touchAt = now
		g.askPeers(now)
	}
	if g.state != Cold && g.hasNoLeader(now) {
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
func (g *Proxy) Seeds(s []string) { g.settings.Seeds = s }

// Revision is the configuration's that this proxy serves by.
func (g *Proxy) Revision() uint64 { return g.revision }
