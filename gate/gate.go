// Package gate is the owner of a proxy daemon: its table and grant, the choice
// of a target for each exchange, waiting, retries and their budget, and what it
// does when the leader is out of reach, as one pure Step(now, event) -> commands.
//
// A proxy serves only on a table that is known to be fresh. Granted: the leader
// answered a pull that was sent less than a grant ago. Orphan: no grant, but a
// majority of the roster's proxies, itself included, answered within a touch
// grant, and it has taken the highest table among them; since the leader calls a
// change in force only when a majority has confirmed it and all other grants
// have lapsed, an orphan can't miss it. Otherwise it is cut and refuses.
package gate

import (
	"slices"
	"time"

	"myrtlefold/core"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// Events besides core.Recv, core.Tick, core.Probed, core.Ask and core.Stop,
// which both daemons share.
type (
	// Admit asks for a target for a new exchange.
	Admit struct {
		ID                 uint64
		Host, Path, Method string
		Timeout            time.Duration // what the caller still gives, 0: not said
	}
	// Again asks for another target after a try that may be repeated. Sent says
	// that something of the exchange had been written.
	Again struct {
		ID   uint64
		Sent bool
	}
	// Done ends an exchange's stay at its target.
	Done struct {
		ID      uint64
		Outcome Outcome
		Ms      float64
		Last    bool  // no Again will follow
		Load    *Load // what the target told of itself with the answer
	}
	// Cancel ends an exchange that is at no target or is to leave it: its user agent
	// has gone, or, Failed, its caller got an error.
	Cancel struct {
		ID     uint64
		Failed bool
	}
)

// Load is what a target tells of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

type Outcome int

const (
	Served  Outcome = iota // a whole answer below 500
	Broken                 // an answer of 500 and above
	Lost                   // no answer, garbage, or one that was cut
	Closed                 // no pipe could be opened; nothing was written
	Foreign                // another identity answered there; nothing was written
	Stale                  // the choice grew too old before anything was written
	Dropped                // the user agent went away
	NotRun                 // the target turned it away and says that it did not run
)

// Commands besides those shared with core.
type (
	// Give sends an exchange to a target.
	Give struct {
		ID      uint64
		Service string
		Set     model.Service
		Name    string      // the route's, "" for a rule
		Route   model.Route // what holds for the exchange; a rule's has its service's numbers
		Target  wire.Target
		Left    time.Duration // until the exchange's deadline
		Till    time.Duration // nothing of it may be written to this target later than this
		More    bool          // it has attempts left after this one
	}
	// Refuse is an exchange's final answer, given before anything was sent on its behalf
	// (or, after Again, after a try that its caller has classified).
	Refuse struct {
		ID      uint64
		Status  int
		Retry   time.Duration // when to come back, 0: not said
		Code    string
		Message string
		Allowed []string
	}
	// Dark is the targets that are barred because nothing reaches them: an exchange that may
	// be repeated and has no answer from one yet need not wait for it.
	Dark struct{ IDs map[wire.ID]bool }
	// Targets is the table's targets; no pipe to any other may be used again. Limits are
	// what its configuration bounds callers by, nil: nothing.
	Targets struct {
		Live   map[wire.ID]string
		Limits *model.Limits
	}
)

type State int

const (
	Cold State = iota // no table yet
	Granted
	Orphan
	Cut
)

func (s State) String() string { return [...]string{"cold", "granted", "orphan", "cut"}[s] }

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

// stop is how long a stopping proxy serves on in any case, and at most.
func (s Settings) stop() (linger, most time.Duration) {
	if s.Grace <= 0 {
		return limit.StopLinger, limit.StopWait
	}
	return min(limit.StopLingerMost, s.Grace/2), max(s.Grace-limit.StopMargin, s.Grace/2)
}

// Retry bounds what a service's targets get beyond the first target of each exchange:
// over all proxies, in any window, a ratio of the exchanges and a little slack.
type Retry struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

type target struct {
	wire.Target
	barUntil time.Duration // the table's bar
	ownBar   time.Duration // an orphan's bar, from its own probes
	unheard  bool          // the table's bar is for missed probes
	held     bool          // heard here that it leaves
	voice    core.Voice    // what was heard here of its beats
	heir     *target       // a later start of it that claims its place while no leader can say
	shun     time.Duration
	backAt   time.Duration // when a bar was lifted
	warmAt   time.Duration // when it ended its warming
	anew     bool          // it came to the table of a proxy with a grant: nothing older runs there
	warmPart int           // this proxy's part of its warming cap, and, until riseAt, the most that it may use
	warmNext int           // the greater part that holds from then on
	riseAt   time.Duration
	inflight int
	closed   int // pipes in a row that could not be opened
	misses   int
	probeAt  time.Duration
	sentAt   time.Duration
	indirect bool // the leader has asked for a probe and not heard of an answer
	seen     wire.Seen

	slots     int  // exchanges at once, as told
	part      int  // those of them that are dealt to this proxy
	strict    bool // they are the operator's cap: nothing is borrowed
	near      bool
	coldUntil time.Duration
	coldGap   time.Duration // between this proxy's exchanges while it is cold, 0: none
	coldNext  time.Duration
	fullTill  time.Duration // it said that it is full
	others    float64       // what it told of its load besides this proxy's
	loadAt    time.Duration
	pace      float64 // how its times compare with its routes', 1: as usual
	paces     int     // how many exchanges told of it
	paceAt    time.Duration
	usedAt    time.Duration
}

type exchange struct {
	id       uint64
	svc      string
	name     string
	route    model.Route
	way      *way
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
	set      model.Service
}

// tally counts an aim's exchanges by the minute.
type tally struct {
	minutes [limit.AimMinutes]struct{ minute, good, all int }
}

type service struct {
	inflight int
	queue    []uint64
	budget   budget
	targets  []*target // sorted
	own      []*target // those of them with slots that are dealt to this proxy
	slotted  bool      // its targets tell their slots
	even     float64   // this proxy's even part of all slots
	window   float64   // how many of its exchanges may be at targets now
	pressAt  time.Duration
	ranks    [limit.Ranks]time.Duration // when exchanges of each priority last came
	mean     float64                    // ms that its exchanges take
}

// Counts are the owner's counters.
type Counts struct {
	Admitted, Refused, Busy, NoTarget, NotServing, Retries, RetriesDenied, Waited, Tables, StaleTables, StaleChoices, OwnBars, Shunned uint64
	NoRoute, Dealt, Borrowed, ToCold, ColdWaits, Full, TooLate, Overtaken, LowRank, OnceKept, OtherShare                               uint64
}

type Gate struct {
	set       Settings
	known     core.Book
	helloAt   time.Duration
	pullAt    time.Duration
	touchAt   time.Duration
	state     State
	table     *wire.Table
	epoch     uint64
	term      uint64 // highest leader heard, with epoch
	grantTill time.Duration
	settled   bool
	want      bool
	telling   bool // the next tick pulls: the leader waits for what is to be told
	touches   map[string]time.Duration
	asked     map[string]time.Duration // when partners were last asked
	wantAt    time.Duration            // when a partner was last asked for its table
	wordAt    time.Duration            // when a leader last said anything
	said      wire.Daemon              // what it was last told of this one, and which leader that was
	saidTo    string
	memoryAt  map[string]time.Duration // when core daemons were last told what is remembered here, by name and process
	cfg       *model.Config
	revision  uint64
	targets   map[wire.ID]*target
	alive     []string // proxies that share caps, and all of the roster
	listed    []string
	open      []*target // room for choices
	barred    []*target
	leaving   map[wire.ID]time.Duration
	services  map[string]*service
	exchanges map[uint64]*exchange
	aims      map[string]*tally
	ways      map[string]*way // what is kept by route
	salt      uint64
	coldEnd   time.Duration // when the next target ends being cold, or a part of a warming one grows, 0: never
	turn      uint64
	stopping  bool
	stopAt    time.Duration
	out       []any
	dark      map[wire.ID]bool
	Counts    Counts
}

func New(set Settings) *Gate {
	if set.Retry.Window < limit.CountSlices {
		set.Retry = Retry{1 / float64(limit.RetryShare), limit.RetryWindow, limit.RetryFree}
	}
	return &Gate{set: set, ways: map[string]*way{}, salt: hash(set.Self.Name), known: core.Book{}, touches: map[string]time.Duration{}, asked: map[string]time.Duration{}, memoryAt: map[string]time.Duration{}, cfg: &model.Config{},
		targets: map[wire.ID]*target{}, leaving: map[wire.ID]time.Duration{}, services: map[string]*service{}, exchanges: map[uint64]*exchange{}, aims: map[string]*tally{}, grantTill: -1}
}

func (g *Gate) do(cmd any) { g.out = append(g.out, cmd) }

// Step is the owner: one event in, commands out.
func (g *Gate) Step(now time.Duration, ev any) []any {
	g.judge(now) // time may have passed since the last step, and with it a grant
	switch e := ev.(type) {
	case core.Recv:
		g.recv(now, e.M)
	case core.Tick:
		g.tick(now)
	case core.Probed:
		g.probed(now, e)
	case core.Ask:
		g.ask(now, e)
	case core.Stop:
		if !g.stopping {
			g.stopping, g.stopAt = true, now
			g.do(core.Change{What: "stop", From: "serving", To: "stopping", Why: "asked to"})
		}
	case Admit:
		g.admit(now, e)
	case Again:
		g.again(now, e)
	case Done:
		g.done(now, e)
	case Cancel:
		g.cancel(now, e)
	}
	g.judge(now)
	o := g.out
	g.out = nil
	return o
}

// judge sets the state from what is known at this moment.
func (g *Gate) judge(now time.Duration) {
	switch {
	case g.table == nil:
		g.setState(now, Cold, "no table")
	case now < g.grantTill:
		g.setState(now, Granted, "the leader answers")
	case g.inTouch(now):
		g.settled = true
		g.setState(now, Orphan, "a majority of proxies answers")
	default:
		g.setState(now, Cut, "neither the leader nor a majority of proxies answers")
	}
}

func (g *Gate) setState(now time.Duration, s State, why string) {
	if s == g.state {
		return
	}
	g.do(core.Change{What: "gate", From: g.state.String(), To: s.String(), Why: why})
	g.state = s
	g.index(now)
	if s == Granted {
		// The leader judges again, and has taken in what was seen here meanwhile.
		for _, t := range g.targets {
			t.misses, t.sentAt, t.probeAt, t.ownBar = 0, 0, 0, 0
		}
	}
}

// Serving says whether exchanges may be admitted now.
func (g *Gate) Serving() bool { return g.state == Granted || g.state == Orphan }

// Ready is what the platform is told: an emptied domain's proxy serves on but
// asks for no more callers.
func (g *Gate) Ready() bool {
	return g.Serving() && !g.stopping && (g.set.ReadyWhenEmptied || !slices.Contains(g.table.Emptied, g.set.Self.Domain))
}

func (g *Gate) State() State { return g.state }

func (g *Gate) Table() *wire.Table { return g.table }

func (g *Gate) InFlight() int { return len(g.exchanges) }

func (g *Gate) send(name string, m *wire.Msg) {
	if k := g.known[name]; k != nil && name != g.set.Self.Name {
		m.To, m.From = name, g.set.Self.Name
		g.do(core.Send{Addr: k.Addr, M: m})
	}
}

func (g *Gate) self() wire.Daemon {
	d := g.set.Self
	d.State, d.Ready = g.state.String(), g.table != nil && g.Ready()
	if g.table != nil {
		d.Epoch = g.table.Key.Epoch
	}
	return d
}

func (g *Gate) recv(now time.Duration, m *wire.Msg) {
	switch wire.Kind(m.Kind) {
	case wire.KHello:
		if m.Hello == nil {
			return
		}
		led := g.leader(now)
		g.known.Meet(now, g.set.Self.Name, m.Hello)
		if l := g.leader(now); l != led && l == m.From && now > g.pullAt {
			g.pull(now) // the leader waits for what proxies hold, and they for its grant
		}
		if !m.Hello.Reply {
			h := &wire.Hello{Self: g.self(), Reply: true, Known: g.known.List()}
			g.send(m.From, &wire.Msg{Kind: uint16(wire.KHello), Hello: h})
		}
	case wire.KPush:
		if m.Push != nil {
			g.push(now, m)
		}
	case wire.KPull:
		g.partner(now, m)
	case wire.KBeat:
		if m.Beat != nil {
			g.heardBeat(now, *m.Beat)
		}
	}
}

func (g *Gate) tick(now time.Duration) {
	if now-g.helloAt >= limit.HelloCalm || now-g.helloAt >= limit.HelloEvery && g.doubts(now) {
		g.hello(now)
	}
	if now-g.pullAt >= limit.PullEvery || g.telling {
		g.pull(now)
	}
	if g.table != nil && g.alone(now) && now-g.touchAt >= limit.PullEvery {
		g.touchAt = now
		g.touch(now)
	}
	if g.state != Cold && g.alone(now) {
		g.watch(now)
	}
	if g.coldEnd > 0 && now >= g.coldEnd {
		g.index(now)
	}
	g.queues(now)
	g.darken(now)
	if linger, most := g.set.stop(); g.stopping && (now-g.stopAt > linger && len(g.exchanges) == 0 || now-g.stopAt > most) {
		g.do(core.Exit{})
	}
}

// Seeds replaces the seed addresses.
func (g *Gate) Seeds(s []string) { g.set.Seeds = s }

// Revision is the configuration's that this proxy serves by.
func (g *Gate) Revision() uint64 { return g.revision }
