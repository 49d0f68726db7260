// Package sim runs the real owners of a whole fleet in virtual time: a seeded
// network with delay, loss and cuts, disks that stall, tear and vanish, clocks
// that start anywhere and run at unlike speed, processes that crash, freeze and
// come back, back ends, callers and operators. The rules of what must never
// happen are checked at every step they concern. One seed is one run: the same
// seed gives the same trace, step by step.
package sim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"myrtlefold/core"
	"myrtlefold/gate"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/quorum"
	"myrtlefold/wire"
)

// Plan is the fleet's size.
type Plan struct {
	Cores, Gates int
	Domains      int
	Seeds        int            // core daemons that found the first core, of which the others learn; 0: all, by number
	Services     map[string]int // targets each
	Rate         float64        // exchanges a second
	Unsafe       float64        // part of them that must not run twice
	Hard         float64        // part of refusals that are sent again at once
	Slots        int            // exchanges at once that targets tell, and routes in rules' place; 0: neither
	ColdPerS     float64        // exchanges a second that a cold target bears, 0: no such bound
	Known        []string       // domains that the core's settings name
	Beats        time.Duration  // how far apart targets' words are, 0: limit.BeatEvery; each is said again after half a second
	CoreOnly     bool           // targets speak to core daemons only
	Scarce       *Scarce        // nil: processors and links take no time
}

// Scarce has processes take time for what they handle, and links for what goes over them.
type Scarce struct {
	CoreShare, GateShare float64 // of a processor
	GateLink             float64 // bytes a second, each way
}

// What a process that has a processor of its own takes for one message or event, and for a
// byte: system calls, reading and writing, and the owner's step.
const (
	costEvent = 60 * time.Microsecond
	costByte  = 10 * time.Nanosecond
)

// share is the part of a processor that a process has.
func (s *Scarce) share(p *Proc) float64 {
	if p.kind == "core" {
		return s.CoreShare
	}
	return s.GateShare
}

// weigh is how many bytes a message takes on a connection.
func weigh(m *wire.Msg) int {
	n, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	return n
}

// work has a process spend time on something, after all that it has to do before; what it
// gives is when that is done.
func (w *World) work(p *Proc, bytes int) time.Duration {
	d := float64(costEvent+time.Duration(bytes)*costByte) / w.Plan.Scarce.share(p)
	p.busy = max(p.busy, w.now) + time.Duration(d)
	return p.busy
}

// pass is when so many bytes that are ready at a moment have gone over a proxy's link.
func (w *World) pass(at time.Duration, link *time.Duration, bytes int) time.Duration {
	*link = max(*link, at) + time.Duration(float64(bytes)*float64(time.Second)/w.Plan.Scarce.GateLink)
	return *link
}

// Small is a fleet that shows all behaviour and still runs fast.
var Small = Plan{Cores: 3, Gates: 5, Domains: 3, Services: map[string]int{"fares": 5, "pay": 4}, Rate: 60, Unsafe: 0.4, Hard: 0.5}

// GCPercent is how far the heap of a program that runs worlds may grow between two
// collections: each world holds a few MiB and makes much that is over at once.
const GCPercent = 400

// foundingTime is for how long after the beginning a process is told that the fleet starts for the first time.
const foundingTime = 1050 * time.Millisecond

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type disk struct {
	img     quorum.Image
	open    []*wire.Batch
	stalled bool
}

// Proc is one daemon's process; gen counts its starts.
type Proc struct {
	w      *World
	name   string
	kind   string
	domain string
	addr   string
	alive  bool
	frozen bool
	held   []any
	thawed []func()
	gen    int
	boot   time.Duration
	base   time.Duration
	rate   float64
	core   *core.Core
	gate   *gate.Gate
	disk   *disk
	pool   map[wire.ID][]*Target
	live   map[wire.ID]string
	rev    uint64
	ticks  bool          // a tick waits for its processor
	busy   time.Duration // until when its processor is taken, its link out, and its link in
	out    time.Duration
	in     time.Duration
	since  time.Duration // when it last was stopped or started
}

// Target is one start of a back end; a restart is another Target.
type Target struct {
	service, name, domain, addr string
	inc                         uint64
	alive                       bool
	hang                        bool
	lose                        bool
	fail                        bool
	deaf                        bool // misses probes, beats and serves
	state                       string
	leftAt                      time.Duration // when a daemon first took its word that it leaves
	goneAt                      time.Duration
	works                       []*exchange // those in work
	work, usual                 time.Duration
	coldTill                    time.Duration
	coldTold                    time.Duration // the end that a daemon has acknowledged, and when all must keep to it
	coldFrom                    time.Duration
	resets                      bool            // when full it resets pipes and says nothing
	came                        []time.Duration // arrivals while it is cold, of the last second
	still                       bool            // says nothing, but serves and answers probes
	named                       bool            // its words go by PUT and are numbered
	number                      uint64
}

type exchange struct {
	id     uint64
	svc    string
	unsafe bool
	gate   *Proc
	gen    int
	ran    int
	sent   bool
	retry  bool
	final  string
	hard   int
	rev    uint64 // the proxy's when it chose
}

type change struct {
	token string
	rev   uint64
	base  uint64
	what  string
	empty string
	at    time.Duration
	acked time.Duration
	state string // open, accepted, refused, unknown
}

type tick struct {
	at    time.Duration
	retry bool
}

// World is one run.
type World struct {
	Plan     Plan
	Seed     uint64
	rnd      *rand.Rand
	now      time.Duration
	seq      uint64
	q        events
	procs    map[string]*Proc
	byAddr   map[string]*Proc
	names    []string
	seeds    []string // whom a process that starts is told of
	targets  []*Target
	listen   map[string]*Target
	cut      map[[2]string]bool
	loss     float64
	delay    time.Duration
	nextEx   uint64
	open     map[uint64]*exchange
	link     map[[2]string]time.Duration
	nextInc  uint64
	asks     map[uint64]*ask
	nextAsk  uint64
	changes  []*change
	acked    uint64
	ackedAt  map[uint64]time.Duration
	emptied  map[string]time.Duration
	sends    map[string][]tick
	trace    []string
	Fail     string
	Stats    Stats
	quiet    bool // no more callers
	okAt     []time.Duration
	hashed   uint64
	late     float64 // part of messages that come seconds late and out of order
	lostLead time.Duration
	removing bool // one service at a time is taken away
	swapping bool // one member at a time is swapped
	planned  bool // only planned work is done: nothing may be lost
	sabotage string
	lastOk   map[string]time.Duration
}

type ask struct {
	fn func(core.Reply)
}

// Stats are what a run saw, for reports.
type Stats struct {
	Exchanges, Served, NotRun, Unknown, Retries int
	Changes, Accepted, Refused, UnknownChanges  int
	MaxLeave, MaxGone, MaxForce                 time.Duration
	Forces                                      []time.Duration
	Steps                                       int
	MaxWarm                                     int
	Cold, TurnedAway                            int // arrivals at cold targets, and at full ones
	Orphaned                                    int
	Back                                        time.Duration // from healing to full capacity
	Lost, LostUnsafe, Foreign, NoAnswer         int           // answers lost, pipes to another identity, callers whose proxy died
	Leaves, Deaths, Empties, Slips, Stops       int
	Gap                                         time.Duration // longest time without a served exchange of some service
}

func New(seed uint64, p Plan) *World {
	w := &World{Plan: p, Seed: seed, rnd: rand.New(rand.NewPCG(seed, 0x6d79727465)), procs: map[string]*Proc{}, byAddr: map[string]*Proc{},
		listen: map[string]*Target{}, cut: map[[2]string]bool{}, open: map[uint64]*exchange{}, link: map[[2]string]time.Duration{},
		asks: map[uint64]*ask{}, ackedAt: map[uint64]time.Duration{}, emptied: map[string]time.Duration{}, sends: map[string][]tick{}, delay: time.Millisecond, lastOk: map[string]time.Duration{}}
	for i := range p.Cores {
		w.addProc("core", fmt.Sprintf("c%d", i+1), i%p.Domains)
	}
	for i := range p.Gates {
		w.addProc("gate", fmt.Sprintf("g%d", i+1), i%p.Domains)
	}
	w.seeds = w.names[:min(3, len(w.names))]
	if p.Seeds > 0 {
		w.seeds = w.names[:p.Seeds]
	}
	for _, n := range w.names {
		if q := w.procs[n]; p.Seeds == 0 {
			w.start(q)
		} else {
			w.at(w.ms(0, 1000), func() { w.start(q) })
		}
	}
	k := 0
	for _, s := range slices.Sorted(maps.Keys(p.Services)) {
		for i := range p.Services[s] {
			w.AddTarget(s, fmt.Sprintf("%s%d", s, i+1), fmt.Sprintf("d%d", k%p.Domains+1), fmt.Sprintf("10.1.0.%d:80", k+1), 0)
			k++
		}
	}
	return w
}

func (w *World) addProc(kind, name string, domain int) {
	p := &Proc{w: w, name: name, kind: kind, domain: fmt.Sprintf("d%d", domain+1), addr: fmt.Sprintf("10.0.0.%d:1", len(w.byAddr)+1), disk: &disk{}}
	if kind == "core" {
		p.disk.img.Disk = w.rnd.Uint64() | 1
	}
	w.procs[name] = p
	w.byAddr[p.addr] = p
	w.names = append(w.names, name)
}

func (w *World) at(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.q, event{w.now + d, w.seq, fn})
}

func (w *World) log(f string, a ...any) {
	l := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(f, a...)
	w.trace = append(w.trace, l)
	for _, b := range []byte(l) {
		w.hashed = w.hashed*1099511628211 + uint64(b)
	}
}

// Hash sums up the whole trace.
func (w *World) Hash() uint64 { return w.hashed + uint64(w.Stats.Steps) }

// Trace gives the last lines.
func (w *World) Trace(n int) string {
	return strings.Join(w.trace[max(0, len(w.trace)-n):], "\n")
}

func (w *World) broken(rule, f string, a ...any) {
	if w.Fail == "" {
		w.Fail = rule + ": " + fmt.Sprintf(f, a...)
		w.log("RULE BROKEN %s", w.Fail)
	}
}

// Run moves virtual time on until d, or until a rule is broken.
func (w *World) Run(until time.Duration) bool {
	for len(w.q) > 0 && w.q[0].at <= until && w.Fail == "" {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		w.Stats.Steps++
		e.fn()
	}
	if w.Fail == "" {
		w.now = until
	}
	return w.Fail == ""
}

func (w *World) ms(lo, hi int) time.Duration {
	return time.Duration(lo)*time.Millisecond + time.Duration(w.rnd.Int64N(int64(hi-lo)*int64(time.Millisecond)+1))
}

// ---- processes ----

func (p *Proc) local() time.Duration {
	return p.base + time.Duration(float64(p.w.now-p.boot)*p.rate)
}

func (w *World) start(p *Proc) {
	p.gen++
	p.alive, p.frozen, p.held, p.thawed, p.ticks = true, false, nil, nil, false
	p.boot, p.since = w.now, w.now
	p.base = time.Duration(1 + w.rnd.Int64N(int64(time.Hour)))
	p.rate = w.rate()
	p.pool, p.live, p.rev = map[wire.ID][]*Target{}, nil, 0
	var seeds []string
	set := core.Settings{Size: w.Plan.Cores}
	if w.Plan.Seeds > 0 {
		set.Size, set.Found = 0, w.now < foundingTime
	}
	for _, n := range w.seeds {
		seeds = append(seeds, w.procs[n].addr)
	}
	self := wire.Daemon{Name: p.name, Kind: p.kind, Domain: p.domain, Addr: p.addr, Http: p.addr, Inc: w.rnd.Uint64() | 1}
	if p.kind == "core" {
		p.disk.open = nil
		img := p.disk.img
		img.Log = slices.Clone(img.Log)
		set.Self, set.Seeds, set.Domains = self, seeds, w.Plan.Known
		p.core = core.New(p.local(), set, img)
	} else {
		p.gate = gate.New(gate.Settings{Self: self, Seeds: seeds})
	}
	gen := p.gen
	var beat func()
	beat = func() {
		if p.gen != gen || !p.alive {
			return
		}
		switch {
		case p.frozen:
		case w.Plan.Scarce == nil:
			w.deliver(p, core.Tick{})
		case !p.ticks: // else the one before still waits
			p.ticks = true
			w.at(w.work(p, 0)-w.now, func() {
				if p.gen == gen {
					p.ticks = false
					w.deliver(p, core.Tick{})
				}
			})
		}
		w.at(limit.TickEvery, beat)
	}
	w.at(w.ms(0, 20), beat)
}

// Kill ends a process at once; what its disk had not synced may be there in part.
func (w *World) Kill(p *Proc) {
	if !p.alive {
		return
	}
	w.log("kill %s", p.name)
	p.alive, p.since = false, w.now
	for len(p.disk.open) > 0 && w.rnd.IntN(3) > 0 {
		p.disk.img.Fold(p.disk.open[0])
		p.disk.open = p.disk.open[1:]
	}
	p.disk.open, p.disk.stalled = nil, false
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		if x := w.open[id]; x.gate == p && x.gen == p.gen {
			delete(w.open, id)
			w.Stats.NoAnswer++
			if w.planned {
				w.broken("in flight", "exchange %d was left behind by %s", x.id, p.name)
			}
		}
	}
}

// WipeDisk loses a dead member's disk.
func (w *World) WipeDisk(p *Proc) {
	w.log("wipe disk of %s", p.name)
	p.disk = &disk{img: quorum.Image{Disk: w.rnd.Uint64() | 1}}
}

func (w *World) Restart(p *Proc) {
	if !p.alive {
		w.log("start %s", p.name)
		w.start(p)
	}
}

// Freeze stops a process where it is; Thaw lets it go on with all that came meanwhile.
func (w *World) Freeze(p *Proc, d time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	w.log("freeze %s for %v", p.name, d)
	p.frozen = true
	gen := p.gen
	w.at(d, func() {
		if p.gen == gen && p.alive {
			w.log("thaw %s", p.name)
			p.frozen = false
			held := p.held
			p.held = nil
			for _, fn := range p.thawed { // traffic goes on at once, before the owner is told anything
				fn()
			}
			p.thawed = nil
			for _, ev := range held {
				w.deliver(p, ev)
			}
		}
	})
}

func (w *World) deliver(p *Proc, ev any) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.held = append(p.held, ev)
		return
	}
	var cmds []any
	if p.core != nil {
		cmds = p.core.Step(p.local(), ev)
	} else {
		cmds = p.gate.Step(p.local(), ev)
	}
	for _, c := range cmds {
		w.exec(p, c)
	}
	if p.core != nil {
		w.checkCores(p)
	} else {
		w.checkGate(p)
	}
}

// scarce carries a message where that takes time; what a full link would hold up for too
// long is dropped, as a shell does.
func (w *World) scarce(p, to *Proc, m *wire.Msg, d time.Duration) {
	n := weigh(m)
	at := w.work(p, n)
	if p.kind == "gate" {
		if p.out-w.now > limit.SendLate {
			return
		}
		at = w.pass(at, &p.out, n)
	}
	at += d
	if to.kind == "gate" {
		if to.in-w.now > limit.SendLate {
			return
		}
		at = w.pass(at, &to.in, n)
	}
	gen := to.gen
	w.at(at-w.now, func() {
		if to.gen != gen || !to.alive {
			return
		}
		w.at(w.work(to, n)-w.now, func() {
			if to.gen == gen && w.reach(p.name, to.name) {
				w.deliver(to, core.Recv{M: m})
			}
		})
	})
}

func (w *World) reach(a, b string) bool { return !w.cut[[2]string{a, b}] }

func (w *World) exec(p *Proc, cmd any) {
	gen := p.gen
	switch c := cmd.(type) {
	case core.Send:
		to := w.byAddr[c.Addr]
		if to == nil || !w.reach(p.name, to.name) || w.rnd.Float64() < w.loss {
			return
		}
		d := w.delay/5 + time.Duration(w.rnd.Int64N(int64(w.delay)))
		k := [2]string{p.name, to.name}
		at := max(w.now+d, w.link[k]+1) // a pipe keeps its order
		m, tg := w.spoil(p, to, c.M), to.gen
		if m == nil {
			return
		}
		if w.Plan.Scarce != nil {
			w.scarce(p, to, m, d)
			return
		}
		if w.rnd.Float64() < w.late {
			at = w.now + w.ms(200, 4000) // left over in an earlier pipe
			w.Stats.Slips++
			m = w.spoilLate(p, m)
		} else {
			w.link[k] = at
		}
		w.at(at-w.now, func() {
			if to.gen == tg && w.reach(p.name, to.name) {
				w.deliver(to, core.Recv{M: m})
			}
		})
	case core.Sync:
		p.disk.open = append(p.disk.open, c.B)
		d := p.disk
		if w.sabotage == "sync" {
			w.at(0, func() { w.deliver(p, core.Synced{Seq: c.B.Seq}) })
			return
		}
		w.at(w.ms(0, 4), func() { w.flush(p, gen, d) })
	case core.Probe:
		if w.Plan.Scarce != nil { // the question, and the answer
			w.work(p, 0)
			w.work(p, 0)
		}
		w.probe(p, c)
	case core.Reply:
		if a := w.asks[c.ID]; a != nil {
			delete(w.asks, c.ID)
			w.at(w.ms(0, 2), func() { a.fn(c) })
		}
	case core.Change:
		w.log("%s %s %s -> %s (%s)", p.name, c.What, c.From, c.To, c.Why)
		if w.sabotage == "early answer" && c.What == "revision" && p.core != nil {
			w.acked = max(w.acked, p.core.Revision())
		}
		if c.What == "lead" && c.To == "idle" || c.To == "cut" || c.To == "orphan" {
			w.lostLead = w.now
		}
		if c.To == "orphan" {
			w.Stats.Orphaned++
		}
	case core.Note:
		if c.Decision != nil && c.Decision.Kind != "lapse" {
			w.log("%s %s %s %s/%s", p.name, c.Decision.Policy, c.Decision.Kind, c.Decision.Service, c.Decision.Name)
		}
	case core.Exit:
		if p.alive {
			w.log("exit %s", p.name)
			if p.gate != nil && p.gate.InFlight() > 0 {
				w.broken("in flight", "%s left %d exchanges behind at a planned stop", p.name, p.gate.InFlight())
			}
			w.Kill(p)
		}
	case gate.Targets:
		p.live = c.Live
		maps.DeleteFunc(p.pool, func(id wire.ID, _ []*Target) bool { _, ok := c.Live[id]; return !ok })
	case gate.Dark: // exchanges here wait for their deadlines
	case gate.Give:
		w.give(p, c)
	case gate.Refuse:
		w.refused(p, c)
	default:
		panic(fmt.Sprintf("%T", cmd))
	}
}

func (w *World) flush(p *Proc, gen int, d *disk) {
	if p.gen != gen || !p.alive || d != p.disk || d.stalled || len(d.open) == 0 {
		return
	}
	var seq uint64
	for _, b := range d.open {
		d.img.Fold(b)
		seq = b.Seq
	}
	d.open = nil
	w.deliver(p, core.Synced{Seq: seq})
}

// Stall keeps a disk from syncing for a while.
func (w *World) Stall(p *Proc, d time.Duration) {
	w.log("stall disk of %s for %v", p.name, d)
	dk, gen := p.disk, p.gen
	dk.stalled = true
	w.at(d, func() {
		dk.stalled = false
		w.flush(p, gen, dk)
	})
}

// ---- back ends ----

func (w *World) AddTarget(svc, name, domain, addr string, warm time.Duration) *Target {
	w.nextInc++
	t := &Target{service: svc, name: name, domain: domain, addr: addr, inc: w.nextInc + uint64(w.rnd.IntN(1000))*100000, alive: true,
		state: model.Ready, usual: w.ms(5, 30)}
	t.work = t.usual
	t.named = w.nextInc%3 != 0
	if w.Plan.ColdPerS > 0 && w.now > coldSpan {
		t.coldTill = w.now + coldSpan
		t.coldTold = t.coldTill // a start is cold for its service's span, whoever has heard
	}
	t.resets = w.nextInc%5 == 0
	if warm > 0 && w.Plan.ColdPerS == 0 {
		t.state = model.Warming
		w.at(warm, func() {
			if t.state == model.Warming {
				t.state = model.Ready
			}
		})
	}
	w.targets = append(w.targets, t)
	w.listen[addr] = t
	var beat func()
	beat = func() {
		if !t.alive {
			return
		}
		if !t.hang && !t.still {
			t.number++
			w.beat(t, 0)
		}
		w.at(w.beats(), beat)
	}
	w.at(w.ms(0, 300), beat)
	return t
}

func (w *World) beats() time.Duration {
	if w.Plan.Beats > 0 {
		return w.Plan.Beats
	}
	return limit.BeatEvery
}

// beat goes to the first of three daemons, tried in turn, that takes it.
func (w *World) beat(t *Target, tries int) {
	if tries > 3 {
		return
	}
	names := w.names
	if w.Plan.CoreOnly {
		names = w.all("core")
	}
	p := w.procs[names[w.rnd.IntN(len(names))]]
	state, cold := t.state, t.coldTill
	done := false
	again := func() {
		if !done && t.alive {
			done = true
			w.beat(t, tries+1)
		}
	}
	if !p.alive || !w.reach(t.name, p.name) || !w.reach(p.name, t.name) {
		w.at(w.ms(0, 3), again)
		return
	}
	method, path, b := w.word(t, w.heard(state))
	w.call(p, method, path, "", b, "", func(r core.Reply) {
		if r.Status >= 300 {
			again()
			return
		}
		done = true
		if cold > w.now && t.coldTold != cold {
			t.coldTold, t.coldFrom = cold, w.now+coldHeard
		}
		if state == model.Leaving && t.leftAt == 0 {
			t.leftAt = w.now
			w.Stats.Leaves++
			w.log("%s/%s leaving, taken by %s", t.service, t.name, p.name)
		}
	})
	w.at(w.beats()/3, again) // not acknowledged: the next daemon hears it
}

// word is a call that says how a target is.
func (w *World) word(t *Target, state string) (method, path string, body []byte) {
	b := model.Beat{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: state, Slots: int64(w.Plan.Slots)}
	if t.coldTill > w.now && w.sabotage != "cold" {
		b.ColdLeftMs = (t.coldTill - w.now).Milliseconds() + 1
	}
	if method, path = "POST", "/v1/targets"; t.named {
		method, path = "PUT", "/v1/targets/"+t.name
		b.Number = t.number
		if b.Slots == 0 {
			b.Slots = Slots
		}
	}
	body, _ = json.Marshal(b)
	return method, path, body
}

// Slots is how many exchanges named targets say that they work on at once where the plan does not.
const Slots = 16

// say has a daemon hear a target's word, as a late or repeated one would be.
func (w *World) say(p *Proc, t *Target, state string) {
	b, _ := json.Marshal(model.Beat{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: state})
	w.call(p, "POST", "/v1/targets", "", b, "", func(core.Reply) {})
}

// Crash ends a back end without a word.
func (w *World) Crash(t *Target) {
	if !t.alive {
		return
	}
	w.log("crash %s/%s", t.service, t.name)
	t.alive, t.goneAt = false, w.now
	w.Stats.Deaths++
	if w.listen[t.addr] == t {
		delete(w.listen, t.addr)
	}
}

// Leave has a back end announce that it leaves, wait, sign off and end; then runs after.
func (w *World) Leave(t *Target, after func()) {
	t.state = model.Leaving
	t.number++
	w.beat(t, 0)
	var end func()
	end = func() {
		if !t.alive {
			return
		}
		if len(t.works) > 0 || t.leftAt == 0 || w.now-t.leftAt < 2500*time.Millisecond {
			w.at(limit.BeatEvery, end)
			return
		}
		p := w.procs[w.names[w.rnd.IntN(len(w.names))]]
		w.call(p, "DELETE", "/v1/targets/"+t.service+"/"+t.name, fmt.Sprintf("incarnation=%d", t.inc), nil, "", func(core.Reply) {})
		w.at(w.ms(50, 100), func() {
			w.Crash(t)
			after()
		})
	}
	w.at(3*time.Second, end)
}

func (w *World) probe(p *Proc, c core.Probe) {
	gen, sent := p.gen, p.local()
	answer := func(d time.Duration, b *model.Beat) {
		w.at(d, func() {
			if p.gen == gen {
				w.deliver(p, core.Probed{ID: c.ID, SentAt: sent, Ms: float64(d) / 1e6, Beat: b})
			}
		})
	}
	t := w.listen[c.Addr]
	switch {
	case w.sabotage == "probes":
		answer(w.ms(1, 5), &model.Beat{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Inc, State: model.Ready})
	case t != nil && (t.hang || t.deaf || !w.reach(p.name, t.name) || !w.reach(t.name, p.name)):
		answer(limit.ProbeCap, nil)
	case t == nil:
		if w.rnd.IntN(2) == 0 { // refused, or a machine that is gone
			answer(w.ms(1, 2), nil)
		} else {
			answer(limit.ProbeCap, nil)
		}
	default:
		answer(w.ms(1, 5), &model.Beat{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: w.heard(t.state)})
	}
}

// ---- callers ----

// Callers sends exchanges at the plan's rate until the world is quiet.
func (w *World) Callers() {
	var next func()
	next = func() {
		if w.quiet {
			return
		}
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		w.exchange(svcs[w.rnd.IntN(len(svcs))], w.rnd.Float64() < w.Plan.Unsafe, 0)
		w.at(time.Duration(w.rnd.ExpFloat64()*float64(time.Second)/w.Plan.Rate), next)
	}
	w.at(0, next)
}

func (w *World) exchange(svc string, unsafe bool, hard int) {
	var ready []*Proc
	for _, n := range w.names {
		if p := w.procs[n]; p.kind == "gate" && p.alive && !p.frozen && p.gate.Ready() {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		for _, n := range w.names {
			if p := w.procs[n]; p.kind == "gate" && p.alive {
				ready = append(ready, p)
			}
		}
	}
	if len(ready) == 0 {
		return
	}
	w.exchangeAt(ready[w.rnd.IntN(len(ready))], svc, unsafe, hard)
}

func (w *World) exchangeAt(p *Proc, svc string, unsafe bool, hard int) {
	w.nextEx++
	x := &exchange{id: w.nextEx, svc: svc, unsafe: unsafe, gate: p, gen: p.gen, hard: hard}
	w.open[x.id] = x
	w.Stats.Exchanges++
	m := "GET"
	if unsafe && w.sabotage != "resend" { // that takes the owner's own guard out too
		m = "POST"
	}
	path := "/a"
	if m == "POST" {
		path = "/once/a"
	}
	w.deliver(p, gate.Admit{ID: x.id, Host: "x", Path: "/" + svc + path, Method: m})
}

func (w *World) end(x *exchange, final string) {
	x.final = final
	delete(w.open, x.id)
	switch final {
	case "served":
		w.Stats.Served++
		if !w.quiet {
			w.Stats.Gap = max(w.Stats.Gap, w.now-w.lastOk[x.svc])
		}
		w.lastOk[x.svc] = w.now
		w.okAt = append(w.okAt, w.now)
	case "no":
		w.Stats.NotRun++
		if x.ran > 0 {
			w.broken("refused but ran", "exchange %d had run %d times", x.id, x.ran)
		}
	case "unknown":
		w.Stats.Unknown++
		if w.planned {
			w.broken("in flight", "exchange %d at %s was lost during planned work", x.id, x.gate.name)
		}
	}
	if final != "served" && x.hard < 3 && w.rnd.Float64() < w.Plan.Hard {
		w.at(w.ms(0, 5), func() { w.exchange(x.svc, x.unsafe, x.hard+1) })
	}
}

func (w *World) refused(p *Proc, c gate.Refuse) {
	x := w.open[c.ID]
	if x == nil {
		return
	}
	if c.Status == 503 && c.Retry == 0 {
		w.broken("come back when", "a refusal without Retry-After")
	}
	if x.sent && w.sabotage != "say no" {
		w.end(x, "unknown")
	} else {
		w.end(x, "no")
	}
}

// give plays the carrier: a pooled pipe or a new one with its identity checked,
// then the exchange, then what its end means.
func (w *World) give(p *Proc, c gate.Give) {
	x := w.open[c.ID]
	if x == nil || x.gate != p || x.gen != p.gen {
		return
	}
	w.checkGive(p, &c, x)
	id := c.Target.ID()
	var t *Target
	pooled := false
	for l := p.pool[id]; len(l) > 0 && t == nil; l = p.pool[id] {
		t, p.pool[id] = l[len(l)-1], l[:len(l)-1]
		if !t.alive {
			t = nil
		}
		pooled = t != nil
	}
	if t == nil {
		t = w.listen[c.Target.Addr]
	}
	back := func(d time.Duration, fn func()) {
		w.at(d, func() {
			if p.alive && p.gen == x.gen && w.open[x.id] == x {
				fn()
			}
		})
	}
	fail := func(d time.Duration, o gate.Outcome, sent, late bool) {
		back(d, func() {
			w.deliver(p, gate.Done{ID: x.id, Outcome: o, Ms: float64(d) / 1e6})
			if w.open[x.id] != x {
				return
			}
			if o == gate.NotRun {
				x.retry = true
				w.deliver(p, gate.Again{ID: x.id, Sent: w.sabotage != "budget"})
				return
			}
			x.sent = x.sent || sent
			if late || sent && x.unsafe && w.sabotage != "resend" {
				w.deliver(p, gate.Cancel{ID: x.id})
				if x.sent {
					w.end(x, "unknown")
				} else {
					w.end(x, "no")
				}
				return
			}
			x.retry = sent
			w.deliver(p, gate.Again{ID: x.id, Sent: sent && w.sabotage != "budget"})
		})
	}
	switch {
	case t == nil:
		fail(w.ms(1, 3), gate.Closed, false, false)
		return
	case !pooled && (t.hang || !w.reach(p.name, t.name) || !w.reach(t.name, p.name)):
		fail(min(limit.ConnectCap, c.Left), gate.Closed, false, false)
		return
	case !pooled && (t.service != id.Service || t.name != id.Name || t.inc != id.Inc) && w.sabotage != "identity":
		w.Stats.Foreign++
		fail(w.ms(1, 3), gate.Foreign, false, false)
		return
	}
	w.at(w.ms(0, 2), func() { w.write(p, c, x, t, back, fail) })
}

// write is the moment at which an exchange's first byte goes out; a process that
// is frozen then goes on with it when it thaws.
func (w *World) write(p *Proc, c gate.Give, x *exchange, t *Target, back func(time.Duration, func()), fail func(time.Duration, gate.Outcome, bool, bool)) {
	id := c.Target.ID()
	if !p.alive || p.gen != x.gen {
		return
	}
	if p.frozen {
		p.thawed = append(p.thawed, func() { w.write(p, c, x, t, back, fail) })
		return
	}
	if p.local() > c.Till {
		fail(0, gate.Stale, false, false)
		return
	}
	w.checkWrite(p, &c, x)
	if x.retry {
		w.Stats.Retries++
	}
	w.sends[x.svc] = append(w.sends[x.svc], tick{w.now, x.retry})
	x.retry = false
	w.at(0, func() {
		if t.service != x.svc {
			w.broken("wrong service", "exchange %d for %s reached %s/%s", x.id, x.svc, t.service, t.name)
		}
		switch {
		case !t.alive:
			fail(0, gate.Lost, true, false)
			return
		case t.hang || !w.reach(p.name, t.name) || !w.reach(t.name, p.name):
			x.sent = true
			fail(c.Left, gate.Lost, true, true)
			return
		}
		w.checkCold(t)
		if w.Plan.Slots > 0 && len(t.works) >= w.Plan.Slots+queued {
			w.Stats.TurnedAway++
			if t.resets {
				fail(0, gate.Lost, true, false)
			} else {
				fail(0, gate.NotRun, true, false)
			}
			return
		}
		w.runs(t, x)
		t.works = append(t.works, x)
		w.at(t.work, func() {
			t.works = slices.DeleteFunc(t.works, func(o *exchange) bool { return o == x })
			switch {
			case !t.alive || t.lose:
				w.Stats.Lost++
				if x.unsafe {
					w.Stats.LostUnsafe++
				}
				fail(0, gate.Lost, true, false)
			default:
				o := gate.Served
				if t.fail {
					o = gate.Broken
				}
				back(0, func() {
					if _, ok := p.live[id]; ok {
						p.pool[id] = append(p.pool[id], t)
					}
					w.deliver(p, gate.Done{ID: x.id, Outcome: o, Ms: float64(t.work) / 1e6, Last: true})
					w.end(x, "served")
				})
			}
		})
	})
}

// ---- operators ----

func (w *World) call(p *Proc, method, path, query string, body []byte, token string, fn func(core.Reply)) {
	w.nextAsk++
	id := w.nextAsk
	if token == "" {
		token = fmt.Sprintf("t%d", id)
	}
	w.asks[id] = &ask{fn}
	late := 2
	if w.sabotage == "base" {
		late = 60
	}
	w.at(w.ms(0, late), func() {
		if w.sabotage == "base" && p.core != nil && strings.HasPrefix(query, "base=") {
			query = fmt.Sprintf("base=%d", p.core.Revision())
		}
		w.deliver(p, core.Ask{ID: id, Token: token, Method: method, Path: path, Query: query, Body: body})
	})
}

// Doc is a configuration that tells its revisions apart by n.
func (w *World) Doc(n int) []byte { return w.DocOf(n, 40, slices.Sorted(maps.Keys(w.Plan.Services))) }

// coldSpan is how long a target is cold after a start during traffic, queued how many
// exchanges wait at one that is full.
const (
	coldSpan = 3 * time.Second
	queued   = 2
	// coldHeard is how long after a target's word was acknowledged its cold rate must hold
	// everywhere: the bound for whatever is said of a target.
	coldHeard = 2 * time.Second
)

// warmCap is what a warming target bears in all of them.
const warmCap = 6

func (w *World) warm(cap int) int {
	if w.sabotage == "warm cap" {
		return cap
	}
	return min(cap, warmCap)
}

// DocOf is one for some services, with a cap per target.
func (w *World) DocOf(n, cap int, services []string) []byte {
	svcs, routes := map[string]any{}, map[string]model.Route{}
	var rules []any
	for _, s := range services {
		svc := map[string]any{"cap": cap, "warm_cap": w.warm(cap), "timeout_ms": 1000 + n}
		if w.Plan.ColdPerS > 0 {
			svc["cold_per_s"], svc["cold_s"] = w.Plan.ColdPerS, coldSpan.Seconds()
		}
		svcs[s] = svc
		for kind, prefix := range map[string]string{model.Repeatable: "/" + s + "/", model.Once: "/" + s + "/once/"} {
			routes[s+"-"+kind] = model.Route{Prefix: prefix, Kind: kind, TimeoutMs: 1000 + n, AimMs: 400, Attempts: 3, Service: s}
		}
		rules = append(rules, map[string]any{"path": "/" + s + "/", "service": s})
	}
	doc := map[string]any{"services": svcs, "rules": rules}
	if w.Plan.Slots > 0 {
		doc["rules"], doc["routes"] = []any{}, routes
	}
	b, _ := json.Marshal(doc)
	return b
}

// Change sends an operator's change to a core member and follows its fate.
func (w *World) Change(p *Proc, method, path, query string, body []byte, c *change) {
	if !p.alive {
		return
	}
	c.token = fmt.Sprintf("op%d", len(w.changes))
	c.at, c.state = w.now, "open"
	w.changes = append(w.changes, c)
	w.Stats.Changes++
	if strings.HasSuffix(path, "/restore") {
		delete(w.emptied, c.empty) // from the asking on, exchanges may go there again
	}
	w.call(p, method, path, query, body, c.token, func(r core.Reply) {
		switch {
		case r.Status == 200:
			var v struct {
				Revision uint64 `json:"revision"`
			}
			json.Unmarshal(r.Body, &v)
			c.state, c.rev, c.acked = "accepted", v.Revision, w.now
			w.Stats.Accepted++
			w.Stats.Forces = append(w.Stats.Forces, w.now-c.at)
			w.Stats.MaxForce = max(w.Stats.MaxForce, w.now-c.at)
			w.log("%s accepted as revision %d", c.what, v.Revision)
			if w.acked = max(w.acked, v.Revision); w.ackedAt[v.Revision] == 0 {
				w.ackedAt[v.Revision] = w.now
			}
			if c.what == "config" {
				for _, o := range w.changes {
					if o != c && o.what == "config" && o.state == "accepted" && o.base == c.base {
						w.broken("one base", "%s and %s were both accepted on %d", o.token, c.token, c.base)
					}
				}
			}
			if strings.HasSuffix(path, "/empty") && !slices.ContainsFunc(w.changes, func(o *change) bool { return o.what == "restore "+c.empty && o.at > c.at }) {
				w.emptied[c.empty] = w.now
				w.Stats.Empties++
			}
		case r.Status == 504:
			c.state = "unknown"
			w.Stats.UnknownChanges++
		default:
			c.state = "refused"
			w.Stats.Refused++
			w.log("%s refused with %d", c.what, r.Status)
		}
	})
}

// Leader is the member that decides, if one does.
func (w *World) Leader() *Proc {
	for _, n := range w.names {
		if p := w.procs[n]; p.core != nil && p.alive && !p.frozen && p.core.Leading() {
			return p
		}
	}
	return nil
}

func (w *World) pick(kind string, alive bool) *Proc {
	var l []*Proc
	for _, n := range w.names {
		if p := w.procs[n]; p.kind == kind && p.alive == alive {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[w.rnd.IntN(len(l))]
}

func (w *World) pickTarget() *Target {
	var l []*Target
	for _, t := range w.targets {
		if t.alive && t.state != model.Leaving {
			l = append(l, t)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[w.rnd.IntN(len(l))]
}

// PutConfig tries a whole configuration on a base.
func (w *World) PutConfig(p *Proc, base uint64, n int) {
	w.Change(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Doc(n), &change{what: "config", base: base})
}

// Revision is the highest that any living member has applied.
func (w *World) Revision() (r uint64) {
	for _, n := range w.names {
		if p := w.procs[n]; p.core != nil && p.alive {
			r = max(r, p.core.Revision())
		}
	}
	return r
}

// Settle waits until the fleet decides, knows its targets and serves.
func (w *World) Settle(within time.Duration) bool {
	end := w.now + within
	for w.now < end {
		if !w.Run(w.now + 100*time.Millisecond) {
			return false
		}
		if w.Serves() {
			return true
		}
	}
	return false
}

// Serves says whether every living proxy serves every service on one table.
func (w *World) Serves() bool {
	l := w.Leader()
	if l == nil || l.core.Table() == nil || len(l.core.Table().Gates) == 0 || l.core.Revision() == 0 {
		return false
	}
	for _, n := range w.names {
		if p := w.procs[n]; p.gate != nil && p.alive && (p.gate.State() != gate.Granted || p.gate.Table().Key.Term != l.core.Table().Key.Term) {
			return false
		}
	}
	for s := range w.Plan.Services {
		if !slices.ContainsFunc(l.core.Table().Targets, func(t wire.Target) bool { return t.Service == s && !t.Held && t.BarLeft == 0 && !t.Pending }) {
			return false
		}
	}
	return true
}

var stopEvent = core.Stop{}

// Plans are the fleets by name: the brief's two deployments and the small one.
var Plans = map[string]Plan{
	"small":   Small,
	"kelani":  {Cores: 3, Gates: 12, Domains: 3, Services: map[string]int{"records": 30, "monitoring": 6}, Rate: 210, Unsafe: 0.3, Hard: 0.8},
	"kiyihat": {Cores: 5, Gates: 8, Domains: 4, Services: map[string]int{"fares": 14, "payments": 9, "documents": 8}, Rate: 630, Unsafe: 0.2, Hard: 0.3},
}
