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
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/core"
	"myrtlefold/judge"
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

// ---- standing ----

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

// inTouch says that a majority of the roster, and of the one before while that still
// counts, answers.
func (g *Gate) inTouch(now time.Duration) bool {
	most := func(n int, name func(int) string) bool {
		k := 0
		for i := range n {
			if name(i) == g.set.Self.Name {
				if g.settled {
					k++
				}
			} else if at, ok := g.touches[name(i)]; ok && now < at+limit.TouchGrant {
				k++
			}
		}
		return 2*k > n
	}
	return most(len(g.table.Gates), func(i int) string { return g.table.Gates[i].Name }) &&
		(len(g.table.Was) == 0 || most(len(g.table.Was), func(i int) string { return g.table.Was[i] }))
}

// Serving says whether exchanges may be admitted now.
func (g *Gate) Serving() bool { return g.state == Granted || g.state == Orphan }

// Ready is what the platform is told: an emptied domain's proxy serves on but
// asks for no more callers.
func (g *Gate) Ready() bool {
	return g.Serving() && !g.stopping && (g.set.ReadyWhenEmptied || !slices.Contains(g.table.Emptied, g.set.Self.Domain))
}

func (g *Gate) State() State       { return g.state }
func (g *Gate) Table() *wire.Table { return g.table }
func (g *Gate) InFlight() int      { return len(g.exchanges) }

// ---- partners ----

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

// leader is the one that the core members last heard name in the latest epoch and term.
func (g *Gate) leader(now time.Duration) string { return g.known.Leader(now) }

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

// hello tells the core daemons of this proxy. What it remembers is long: it is told to those
// that were heard lately, once to each process and then now and again.
func (g *Gate) hello(now time.Duration) {
	g.helloAt = now
	self, memory := g.self(), []byte(nil)
	sent := map[string]bool{}
	for _, n := range slices.Sorted(maps.Keys(g.known)) {
		k := g.known[n]
		if now-k.At > limit.DaemonGone {
			delete(g.known, n)
		} else if k.Kind == "core" {
			sent[k.Addr] = true
			h := &wire.Hello{Self: self}
			who := fmt.Sprint(n, " ", k.Inc)
			if at, ok := g.memoryAt[who]; g.state != Granted && now-k.At < 4*limit.HelloEvery && (!ok || now-at >= limit.MemoryEvery) {
				if memory == nil {
					memory = g.memory()
				}
				if h.Legacy = memory; len(memory) > 0 {
					g.memoryAt[who] = now
				}
			}
			g.do(core.Send{Addr: k.Addr, M: &wire.Msg{Kind: uint16(wire.KHello), From: g.set.Self.Name, Hello: h}})
		}
	}
	if g.state == Granted {
		clear(g.memoryAt)
	}
	for _, a := range g.set.Seeds {
		if !sent[a] && a != g.set.Self.Addr {
			g.do(core.Send{Addr: a, M: &wire.Msg{Kind: uint16(wire.KHello), From: g.set.Self.Name, Hello: &wire.Hello{Self: self}}})
		}
	}
}

// touch asks partners whether they still stand on no later table: a part of the roster at
// each turn, those first who were asked longest ago, so that all are within a touch grant
// and no proxy's work grows with more than the roster.
func (g *Gate) touch(now time.Duration) {
	for n := range g.asked {
		if !slices.ContainsFunc(g.table.Gates, func(r wire.Gate) bool { return r.Name == n }) {
			delete(g.asked, n)
		}
	}
	var who []*wire.Gate
	for i := range g.table.Gates {
		if r := &g.table.Gates[i]; r.Name != g.set.Self.Name {
			who = append(who, r)
		}
	}
	if len(who) > 0 { // each begins elsewhere, so that not all ask the same ones at once
		k := int(g.salt % uint64(len(who)))
		who = append(who[k:], who[:k]...)
	}
	slices.SortStableFunc(who, func(a, b *wire.Gate) int { return cmp.Compare(g.asked[a.Name], g.asked[b.Name]) })
	n := max(limit.TouchMost, (len(who)+limit.TouchTurns-1)/limit.TouchTurns)
	self := g.self()
	for i, r := range who[:min(n, len(who))] {
		if k := g.known[r.Name]; k == nil {
			g.known[r.Name] = &core.Known{Daemon: wire.Daemon{Name: r.Name, Kind: "gate", Addr: r.Addr, Domain: r.Domain}, At: now}
		}
		g.asked[r.Name] = now
		// Back from a freeze or a cut, what partners hold against targets is wanted too.
		m := wire.Pull{Self: self, Key: g.table.Key, Want: !g.Serving() && (len(who) <= limit.TouchMost || i < limit.TouchWant)}
		g.send(r.Name, &wire.Msg{Kind: uint16(wire.KPull), Stamp: int64(now), Disk: g.set.Self.Inc, Pull: &m})
	}
}

// alone says that the leader is out of reach, for one that has ever been part of the fleet;
// another waits for the leader while that speaks to it.
func (g *Gate) alone(now time.Duration) bool {
	return g.doubts(now) && (g.settled || g.wordAt == 0 || now-g.wordAt > limit.GateLive)
}

// memory is what this proxy tells a core that has lost its own.
func (g *Gate) memory() []byte {
	if g.table == nil || g.state == Granted {
		return nil
	}
	l, ok := core.Remembered(g.table)
	if !ok {
		return nil
	}
	b, _ := json.Marshal(l)
	return wire.Squeeze(b)
}

// doubts says that the leader has been silent for over two pulls: partners are
// touched and targets probed from then on, so that both are known when the grant lapses.
func (g *Gate) doubts(now time.Duration) bool {
	return now > g.grantTill-limit.GateGrant+limit.DoubtAfter
}

func (g *Gate) pull(now time.Duration) {
	g.pullAt, g.telling = now, false
	l := g.leader(now)
	if l == "" {
		return
	}
	// The leader that grants knows this proxy; another is told all of it.
	p := &wire.Pull{}
	if d := g.self(); d != g.said || l != g.saidTo || g.state != Granted || g.doubts(now) {
		p.Self, g.said, g.saidTo = d, d, l
	}
	if g.table != nil {
		p.Key, p.Revision, p.Seq = g.table.Key, g.table.Revision, g.table.Seq
		if g.want {
			p.Table = g.export(now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.ID.Compare) {
		if t := g.targets[id]; t.seen.Ok+t.seen.Errors > 0 || t.seen.Alive {
			s := t.seen
			s.Service, s.Name, s.Inc = id.Service, id.Name, id.Inc
			p.Seen = append(p.Seen, s)
			t.seen = wire.Seen{}
		}
	}
	g.send(l, &wire.Msg{Kind: uint16(wire.KPull), Epoch: p.Key.Epoch, Stamp: int64(now), Disk: g.set.Self.Inc, Pull: p})
}

// export is the table as it stands here now, with bars' time left and holds
// that were heard here.
func (g *Gate) export(now time.Duration) *wire.Table {
	t := *g.table
	t.Targets = nil
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.ID.Compare) {
		l := g.targets[id]
		w := l.Target
		if w.BarLeft = max(0, int64(l.barUntil-now)); l.ownBar > now && w.BarLeft == 0 {
			w.BarLeft, w.BarWhy = int64(l.ownBar-now), model.DefaultPolicy
		}
		w.Held = w.Held || l.held
		w.ColdLeft = max(0, int64(l.coldUntil-now))
		t.Targets = append(t.Targets, w)
	}
	return &t
}

// push takes a leader's word, or a partner's answer to a touch.
func (g *Gate) push(now time.Duration, m *wire.Msg) {
	p := m.Push
	mine := m.Disk == g.set.Self.Inc && m.Stamp > 0 && time.Duration(m.Stamp) <= now
	if k := g.known[m.From]; k != nil && k.Kind == "gate" {
		if p.Table != nil && !g.take(now, p.Table) && g.table != nil && g.table.Key == p.Table.Key && !g.Serving() {
			g.heed(now, p.Table)
		}
		if p.Grant && mine && g.table != nil && !g.table.Key.Less(p.Key) {
			g.touches[m.From] = max(g.touches[m.From], time.Duration(m.Stamp))
		}
		if p.Grant && g.table != nil && g.table.Key.Less(p.Key) && now-g.wantAt >= 2*limit.PullEvery {
			g.wantAt = now // one at a time sends all of its table
			g.send(m.From, &wire.Msg{Kind: uint16(wire.KPull), Stamp: int64(now), Disk: g.set.Self.Inc, Pull: &wire.Pull{Self: g.self()}})
		}
		return
	}
	if m.Epoch < g.epoch || m.Epoch == g.epoch && m.Term < g.term {
		return
	}
	g.epoch, g.term, g.wordAt = m.Epoch, m.Term, now
	if p.Want && g.table != nil && !g.want {
		g.want = true
		g.pull(now)
	}
	g.want = p.Want
	for _, id := range p.Probe {
		if t := g.targets[id]; t != nil && mine {
			t.indirect = true
			g.ping(now, t)
		}
	}
	if p.Table != nil {
		fresh := g.take(now, p.Table)
		if fresh {
			g.pull(now) // confirms at once
		}
	}
	// The grant is for the table that it names, and so for any later one of that leader too.
	if p.Grant && mine && g.table != nil && g.table.Key.Epoch == p.Key.Epoch && g.table.Key.Term == p.Key.Term && g.table.Key.Ver >= p.Key.Ver {
		g.settled = true
		g.grantTill = max(g.grantTill, time.Duration(m.Stamp)+limit.GateGrant)
	}
}

// partner answers another proxy's touch.
func (g *Gate) partner(now time.Duration, m *wire.Msg) {
	if m.Pull == nil {
		return
	}
	if m.Pull.Self.Kind == "gate" {
		g.known[m.From] = &core.Known{Daemon: m.Pull.Self, At: now}
	}
	p := &wire.Push{Grant: g.settled && g.table != nil}
	if g.table != nil {
		p.Key = g.table.Key
		switch {
		case !p.Grant:
		case m.Pull.Key == wire.Key{}:
			p.Table = g.export(now)
		case m.Pull.Want && m.Pull.Key == p.Key:
			p.Table = g.holds(now)
		}
	}
	g.send(m.From, &wire.Msg{Kind: uint16(wire.KPush), Stamp: m.Stamp, Disk: m.Disk, Push: p})
}

// holds is what stands here against targets beside the table, as a change to it.
func (g *Gate) holds(now time.Duration) *wire.Table {
	all, t := g.export(now), &wire.Table{Key: g.table.Key, Base: g.table.Key, Seq: g.table.Seq, Revision: g.table.Revision}
	listed := map[wire.ID]bool{}
	for i := range g.table.Targets {
		id := g.table.Targets[i].ID()
		listed[id] = true
		if g.targets[id] == nil {
			t.Gone = append(t.Gone, id)
		}
	}
	for _, w := range all.Targets {
		if w.Held || w.BarLeft > 0 || w.ColdLeft > 0 || !listed[w.ID()] {
			t.Targets = append(t.Targets, w)
		}
	}
	return t
}

// heed takes over what a partner holds against the targets of the same table, and
// the later starts that it has put in the place of some; a probe of this proxy's own
// soon says more.
func (g *Gate) heed(now time.Duration, b *wire.Table) {
	out := map[wire.ID]bool{}
	if b.Base == (wire.Key{}) {
		for id := range g.targets {
			out[id] = !slices.ContainsFunc(b.Targets, func(w wire.Target) bool { return w.ID() == id })
		}
	}
	for _, id := range b.Gone {
		out[id] = true
	}
	for _, w := range b.Targets {
		t := g.targets[w.ID()]
		if t == nil {
			for id := range g.targets {
				if id.Service == w.Service && id.Name == w.Name && out[id] && g.leaving[w.ID()] == 0 {
					t = &target{Target: w}
					g.succeed(now, id, t)
					break
				}
			}
		}
		if t != nil {
			t.held = t.held || w.Held
			t.chill(now, w.ColdLeft)
			if w.BarLeft > 0 {
				t.ownBar = max(t.ownBar, now+time.Duration(w.BarLeft))
			}
		}
	}
}

// succeed puts a later start in a target's place.
func (g *Gate) succeed(now time.Duration, id wire.ID, h *target) {
	delete(g.targets, id)
	g.leaving[id] = now
	h.anew = true
	g.targets[h.ID()] = h
	h.chill(now, max(h.ColdLeft, int64(g.coldOf(h.Service))))
	g.retarget(now)
}

// retarget follows a change of the targets: choices go by the new ones, and pipes to
// others go.
func (g *Gate) retarget(now time.Duration) {
	g.index(now)
	live := map[wire.ID]string{}
	for id, t := range g.targets {
		live[id] = t.Addr
	}
	g.do(Targets{live, g.cfg.Limits})
}

// whole is a table with all that it leaves out because this proxy has it, nil if it has not.
func (g *Gate) whole(t *wire.Table) *wire.Table {
	old, w := g.table, *t
	if len(t.Doc) == 0 {
		if old == nil || old.Key.Epoch != t.Key.Epoch || old.Revision != t.Revision || len(t.State) == 0 && old.Seq != t.Seq {
			return nil
		}
		if w.Doc = old.Doc; len(t.State) == 0 {
			w.State = old.State
		}
	}
	if t.Base == (wire.Key{}) {
		return &w
	}
	if old == nil || old.Key.Epoch != t.Base.Epoch || old.Key.Term != t.Base.Term || old.Key.Ver < t.Base.Ver || t.Base.Term != t.Key.Term {
		return nil
	}
	w.Base, w.Gone = wire.Key{}, nil
	if len(t.Gates) == 0 {
		w.Gates = old.Gates
	}
	out := map[wire.ID]bool{}
	for _, id := range t.Gone {
		out[id] = true
	}
	for i := range t.Targets {
		out[t.Targets[i].ID()] = true
	}
	w.Targets = make([]wire.Target, 0, len(old.Targets)+len(t.Targets))
	for i := range old.Targets {
		if !out[old.Targets[i].ID()] {
			w.Targets = append(w.Targets, old.Targets[i])
		}
	}
	w.Targets = append(w.Targets, t.Targets...)
	slices.SortFunc(w.Targets, func(a, b wire.Target) int { return a.ID().Compare(b.ID()) })
	return &w
}

// plain says that a change to the table tells only what nothing is dealt by, such as demand.
func (g *Gate) plain(now time.Duration, t *wire.Table) bool {
	if t.Base == (wire.Key{}) || len(t.Doc)+len(t.State)+len(t.Gates)+len(t.Gone) > 0 || !slices.Equal(t.Emptied, g.table.Emptied) || !slices.Equal(t.Was, g.table.Was) ||
		len(g.targets) != len(g.table.Targets) {
		return false
	}
	for i := range t.Targets {
		w := t.Targets[i]
		o := g.targets[w.ID()]
		if o == nil {
			return false
		}
		w.Demand, w.HasDemand, w.Beating, w.Number = o.Demand, o.HasDemand, o.Beating, o.Number
		if w != o.Target || w.BarLeft > 0 || w.ColdLeft > 0 || o.barUntil > 0 {
			return false
		}
	}
	for i := range g.table.Targets { // and no later start stands here in the place of one
		if g.targets[g.table.Targets[i].ID()] == nil {
			return false
		}
	}
	return true
}

// take puts a later table in force; an earlier one never replaces a later.
func (g *Gate) take(now time.Duration, t *wire.Table) bool {
	if g.table != nil && !g.table.Key.Less(t.Key) {
		if t.Key.Less(g.table.Key) {
			g.Counts.StaleTables++
		}
		return false
	}
	var changed map[wire.ID]bool
	if t.Base != (wire.Key{}) {
		changed = map[wire.ID]bool{}
		for i := range t.Targets {
			changed[t.Targets[i].ID()] = true
		}
	}
	said := t
	if t = g.whole(t); t == nil {
		return false // said to an earlier process of this name, or long ago: the next pull asks for all
	}
	if g.table == nil || g.table.Key.Epoch != t.Key.Epoch || t.Revision != g.revision || len(g.cfg.Services) == 0 {
		var cfg *model.Config
		var faults []model.Fault
		doc, err := wire.Open(t.Doc)
		if err == nil {
			cfg, faults, err = judge.CheckConfig(doc)
		}
		if err != nil || len(faults) > 0 {
			// Only a checked document is ever agreed; a proxy that can't read one must not serve on.
			panic(fmt.Sprintf("table %v holds an unsound configuration: %v %v", t.Key, err, faults))
		}
		if t.Revision != g.revision {
			g.do(core.Change{What: "revision", From: fmt.Sprint(g.revision), To: fmt.Sprint(t.Revision), Why: fmt.Sprintf("table %v", t.Key)})
		}
		g.cfg, g.revision = cfg, t.Revision
		g.forget()
	}
	g.Counts.Tables++
	if g.plain(now, said) {
		g.table = t
		for _, w := range said.Targets {
			g.targets[w.ID()].Target = w
		}
		g.queues(now)
		return true
	}
	g.table = t
	next := map[wire.ID]*target{}
	for _, w := range t.Targets {
		id := w.ID()
		n := g.targets[id]
		if n != nil && changed != nil && !changed[id] {
			next[id] = n // nothing new is said of it
			continue
		}
		if n == nil {
			n = &target{anew: g.state == Granted}
		}
		was := n.barUntil > now
		if n.State == model.Warming && w.State == model.Ready {
			n.warmAt = now
		}
		n.Target = w
		n.chill(now, w.ColdLeft)
		n.barUntil, n.unheard = 0, w.BarWhy == model.DefaultPolicy
		if w.BarLeft > 0 {
			n.barUntil = now + time.Duration(w.BarLeft)
		} else if was {
			n.backAt = now
		}
		if g.leaving[id] != 0 || w.Held {
			n.held = true
		}
		next[id] = n
	}
	g.targets = next
	maps.DeleteFunc(g.leaving, func(id wire.ID, at time.Duration) bool { return next[id] == nil && now-at > limit.TombKeep })
	g.retarget(now)
	g.queues(now)
	return true
}

// ---- targets' words ----

func (g *Gate) ask(now time.Duration, e core.Ask) {
	r := core.TargetCall(e, func(t wire.Target) {
		g.heardBeat(now, t)
		if l := g.leader(now); l != "" {
			g.send(l, &wire.Msg{Kind: uint16(wire.KBeat), Stamp: 1, Beat: &t})
		}
		if g.state != Granted && g.table != nil {
			// No leader spreads it: tell the partners.
			for _, r := range g.table.Gates {
				g.send(r.Name, &wire.Msg{Kind: uint16(wire.KBeat), Stamp: 1, Beat: &t})
			}
		}
	})
	r.ID = e.ID
	g.do(r)
}

// heardBeat acts at once on a target that leaves; all else is the leader's, or
// kept for the time when there is none.
func (g *Gate) heardBeat(now time.Duration, w wire.Target) {
	if t := g.targets[w.ID()]; t != nil {
		t.voice.Hear(now)
	} else if g.state == Orphan && w.State != model.Gone {
		g.claim(now, w)
	}
	if w.State != model.Leaving && w.State != model.Gone {
		return
	}
	if g.leaving[w.ID()] == 0 {
		g.leaving[w.ID()] = now
	}
	if t := g.targets[w.ID()]; t != nil {
		t.held = true
	}
}

// claim notes a later start of a target that the table knows. No leader can take it
// in, so an orphan does for itself, once it has answered for itself: a service that
// is rolled while the core is gone goes on. The same service and name, and an address
// that no other target of the table has; all else waits for a leader.
func (g *Gate) claim(now time.Duration, w wire.Target) {
	var at *target
	for id, t := range g.targets {
		switch {
		case id.Service == w.Service && id.Name == w.Name:
			at = t
		case t.Addr == w.Addr:
			return
		}
	}
	if at == nil || g.leaving[w.ID()] != 0 || at.heir != nil && at.heir.Inc != w.Inc && at.heir.voice.Speaks(now) {
		return
	}
	if at.heir == nil || at.heir.ID() != w.ID() || at.heir.Addr != w.Addr {
		at.heir = &target{Target: wire.Target{Service: w.Service, Name: w.Name, Inc: w.Inc, Addr: w.Addr, Domain: w.Domain, State: model.Warming, Turn: at.Turn, Slots: w.Slots, ColdLeft: w.ColdLeft}}
	}
	at.heir.voice.Hear(now)
}

// inherit puts an heir that has answered for itself in its place, unless who
// stands there still answers too.
func (g *Gate) inherit(now time.Duration, p core.Probed) {
	for id, t := range g.targets {
		h := t.heir
		if h == nil || h.ID() != p.ID {
			continue
		}
		h.sentAt = 0
		gone := t.held || t.Held || t.misses >= limit.ProbeMisses || t.Addr == h.Addr
		if g.state != Orphan || !gone || p.Beat == nil || p.Beat.ID() != p.ID || p.Beat.State == model.Leaving {
			return
		}
		if p.Beat.State == model.Ready {
			h.State = model.Ready
		}
		g.do(core.Change{What: "target", From: fmt.Sprint(id.Inc), To: fmt.Sprint(h.Inc), Why: "a later start of " + id.Service + "/" + id.Name + " answers, and no leader is there"})
		g.succeed(now, id, h)
		return
	}
}

// watch is the watchdog of a proxy without a leader. A cut one keeps it up, so that
// it does not come back with an old opinion.
func (g *Gate) watch(now time.Duration) {
	few := len(g.targets) <= limit.WatchMost
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.ID.Compare) {
		t := g.targets[id]
		if few || g.watches(id) {
			g.probe(now, t)
		}
		if t.heir != nil {
			g.probe(now, t.heir)
		}
	}
}

// watches deals many targets among the roster, so that neither a proxy nor a target has
// more to do with probes the more there are of the other. Who watches one by a probe is
// drawn; the others see for themselves what pipes to it tell.
func (g *Gate) watches(id wire.ID) bool {
	parts := uint64(max(1, len(g.targets)*limit.Watchers/limit.WatchMost))
	return hash(id.Service+" "+id.Name+" "+g.set.Self.Name)%parts < limit.Watchers
}

func (g *Gate) probe(now time.Duration, t *target) {
	if t.probeAt == 0 || now-t.probeAt >= limit.DoubtEvery {
		g.ping(now, t)
	}
}

func (g *Gate) ping(now time.Duration, t *target) {
	if t.sentAt == 0 || now-t.sentAt > 2*limit.ProbeCap {
		t.probeAt, t.sentAt = now, now
		g.do(core.Probe{ID: t.ID(), Addr: t.Addr, Path: g.cfg.Services[t.Service].HealthPath})
	}
}

func (g *Gate) probed(now time.Duration, p core.Probed) {
	t := g.targets[p.ID]
	if t == nil {
		g.inherit(now, p)
		return
	}
	t.sentAt = 0
	b := p.Beat
	asked := t.indirect
	t.indirect = false
	if b == nil || b.ID() != p.ID {
		if asked && !g.doubts(now) {
			return // the leader's to judge
		}
		if t.misses++; t.misses >= limit.ProbeMisses && g.doubts(now) {
			if t.ownBar <= now {
				g.Counts.OwnBars++
			}
			t.ownBar = now + limit.BarTTL
		}
		return
	}
	t.misses = 0
	if asked {
		t.seen.Alive, g.telling = true, true
	}
	if b.State == model.Ready && t.State == model.Warming && g.state == Orphan {
		t.State, t.warmAt = model.Ready, now
	}
	if t.ownBar > now && (!asked || g.doubts(now)) {
		t.ownBar, t.backAt = 0, now
	}
	if b.State == model.Leaving {
		g.heardBeat(now, t.leavingWord())
	}
}

func (t *target) leavingWord() wire.Target {
	w := t.Target
	w.State = model.Leaving
	return w
}

// View is what the daemon shows of itself.
type View struct {
	Name     string       `json:"name"`
	State    string       `json:"state"`
	Ready    bool         `json:"ready"`
	Leader   string       `json:"leader"`
	Table    wire.Key     `json:"table"`
	Revision uint64       `json:"revision"`
	InFlight int          `json:"in_flight"`
	Targets  []TargetView `json:"targets"`
	Counts   Counts       `json:"counts"`
	Aims     []AimView    `json:"aims,omitempty"`
}

// AimView is this proxy's part in an aim over its window.
type AimView struct {
	Name string `json:"name"`
	model.Aim
	Good int `json:"good"`
	All  int `json:"all"`
}

type TargetView struct {
	wire.Target
	InFlight int   `json:"in_flight"`
	BarMs    int64 `json:"bar_left_ms"`
	OwnBarMs int64 `json:"own_bar_left_ms"`
	Room     int   `json:"room"`
}

func (g *Gate) View(now time.Duration) View {
	v := View{Name: g.set.Self.Name, State: g.state.String(), Ready: g.table != nil && g.Ready(), Leader: g.leader(now),
		Revision: g.revision, InFlight: len(g.exchanges), Counts: g.Counts, Targets: []TargetView{}}
	for _, n := range slices.Sorted(maps.Keys(g.cfg.Aims)) {
		a := AimView{Name: n, Aim: g.cfg.Aims[n]}
		if t := g.aims[n]; t != nil {
			for _, m := range t.minutes {
				if int(now/time.Minute)-m.minute < a.WindowMin {
					a.Good, a.All = a.Good+m.good, a.All+m.all
				}
			}
		}
		v.Aims = append(v.Aims, a)
	}
	if g.table != nil {
		v.Table = g.table.Key
		for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.ID.Compare) {
			t := g.targets[id]
			tv := TargetView{Target: t.Target, InFlight: t.inflight, Room: g.room(now, t, g.cfg.Services[t.Service])}
			if s := g.services[t.Service]; s != nil && s.slotted {
				tv.Room = t.part
			}
			tv.Held = t.Held || t.held
			tv.BarMs, tv.OwnBarMs = max(0, (t.barUntil-now).Milliseconds()), max(0, (t.ownBar-now).Milliseconds())
			v.Targets = append(v.Targets, tv)
		}
	}
	return v
}

// Seeds replaces the seed addresses.
func (g *Gate) Seeds(s []string) { g.set.Seeds = s }

// Revision is the configuration's that this proxy serves by.
func (g *Gate) Revision() uint64 { return g.revision }
