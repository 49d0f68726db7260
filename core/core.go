// Package core is the owner of a control daemon: membership, agreement, the
// registry of targets, the watchdog, the judge, grants to proxies and operators'
// changes, as one pure Step(now, event) -> commands. The shell does the I/O and
// the simulator runs this same code.
//
// While a member leads, everything that is not durable (targets, bars, holds,
// probes, who holds which grant) lives in its lead, which is made anew with
// each term: holds and bars come back from the proxies' tables and the beats.
package core

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"myrtlefold/judge"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/quorum"
	"myrtlefold/wire"
)

// Events.
type (
	Recv   struct{ M *wire.Msg }
	Tick   struct{}
	Synced struct{ Seq uint64 }
	Probed struct {
		ID     wire.ID
		SentAt time.Duration
		Ms     float64
		Beat   *model.Beat   // nil: no sound answer; its state may be "": alive, and nothing said of it
		Cold   time.Duration // how much longer it says it is cold
	}
	// Ask is an operator's or a back end's call. Token names a change for good.
	Ask struct {
		ID                  uint64
		Token               string
		Method, Path, Query string
		Body                []byte
	}
	Stop struct{}
)

// Commands.
type (
	Send struct {
		Addr string
		M    *wire.Msg
	}
	Sync  struct{ B *wire.Batch }
	Probe struct {
		ID   wire.ID
		Addr string
		Path string // of the service's health answer, "": the identity exchange
	}
	Reply struct {
		ID     uint64
		Status int
		Retry  time.Duration // when to ask again, 0: not said
		Body   []byte
	}
	// Note is a target event or a decision for those who read the stream.
	Note struct {
		Event    *judge.Event    `json:"event,omitempty"`
		Decision *judge.Decision `json:"decision,omitempty"`
	}
	// Change is a change of state worth a line in the log.
	Change struct{ What, From, To, Why string }
	Exit   struct{}
)

type Settings struct {
	Self  wire.Daemon
	Size  int      // how many members found the first core; 0: those that the seeds name
	Seeds []string // at the fleet's first start the same for all
	Found bool     // this is the fleet's first start
	// Domains are known though nothing may stand in them yet.
	Domains []string
}

// Lead is a member's standing as the one who decides.
type Lead int

const (
	Idle     Lead = iota
	Adopting      // a refounded core gathers what others remember
	Warming       // a new leader gathers tables
	Deciding
)

func (l Lead) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

type gate struct {
	inc           uint64
	past          []uint64 // incarnations that this one replaced
	key           wire.Key
	stamp         int64
	pullAt        time.Duration
	grantAt       time.Duration
	movedAt       time.Duration // when it last stood on the table of the time, or came on
	revision, seq uint64        // of the document and state that it holds
	told          bool          // its table of before this lead is merged
	sent          wire.Key      // the latest table that it was sent and has not confirmed yet
	sentAt        time.Duration
	flying        int // bytes of tables sent and not confirmed, about
}

// Voice is how a target's words come: its beats without a gap.
type Voice struct {
	words       int
	first, last time.Duration
}

func (v *Voice) Hear(now time.Duration) {
	if v.words == 0 || now-v.last > limit.BeatLapse {
		v.words, v.first = 0, now
	}
	v.words++
	v.last = now
}

// Speaks says that they come as a living one's do, not as one late word.
func (v *Voice) Speaks(now time.Duration) bool {
	return v.words >= limit.ProofWords && v.last-v.first >= limit.ProofSpan && now-v.last < limit.BeatLapse
}

type target struct {
	wire.Target
	beatAt      time.Duration
	probeAt     time.Duration
	sentAt      time.Duration // 0: no probe out
	missed      bool          // the last probe was, whether that counts or not
	askedFor    time.Duration // the last probe for which proxies were asked to probe too
	okAt        time.Duration // last report of a success through a proxy
	aliveAt     time.Duration // last beat or answered probe
	seen        wire.Seen
	seenAt      time.Duration
	silentAt    time.Duration
	misses      int // probes in a row without its own answer
	voice       Voice
	told        bool  // known by hearsay: one word, or a proxy's table; not served until it has proved itself
	shown       facts // what the table says of it
	shownDemand float64
	shownBar    time.Duration // until when, as the table says
	shownCold   time.Duration
	row         uint64 // the number of the table that last said something new of it
	freed       bool   // its address had another target's entry
	coldTill    time.Duration
	warmFrom    uint64 // lowest number of a word that may end its coldness
}

// change tells which change to a table is meant, and whether it needs the state or the document too.
type change struct {
	base       uint64
	state, doc bool
}

type goneRow struct {
	ver uint64
	id  wire.ID
}

// force is something that waits until a table is in force everywhere.
type force struct {
	ver    uint64
	majAt  time.Duration
	since  time.Duration
	p      *pending // who waits for reply, if any
	reply  Reply
	clear  wire.ID // target that may be served from then on
	wide   bool    // a change of the roster
	member string  // a core member whose joining or leaving is waited for
	joins  bool
	most   bool      // confirmed by a majority of the proxies is enough
	agreed []wire.ID // targets whose leaving or sign-off has to be agreed
}

type pending struct {
	token  string
	ask    uint64
	at     time.Duration
	relay  string // asker's daemon, when it came over the wire
	rid    uint64
	to     string // the leader that it was passed to
	passes int    // how many leaders have had it
	call   *wire.Ask
	passAt time.Duration
	word   bool // a target's: made known in time or not promised, and never in doubt
}

// checked is the configuration last found sound, so that it need not be read again.
type checked struct {
	doc []byte
	cfg *model.Config
}

type Core struct {
	set       Settings
	img       quorum.Image
	node      *quorum.Node
	state     State
	known     Book
	bootAt    time.Duration
	helloAt   time.Duration
	offer     uint64
	seen      string // who could found, as last looked at, and since when
	seenAt    time.Duration
	memories  map[string]memory // what proxies said that they remember
	vow       vow
	lockSeq   uint64 // batch that has the lock; it is told to nobody before that is synced
	safeSeq   uint64
	via       string                   // who leads, as last heard of
	places    int                      // of the first core, if this process may found it
	heard     map[string]heard         // other core daemons, as last heard
	changedAt time.Duration            // when the members last changed
	listed    map[string]listed        // what daemons were last told of those known
	tried     map[string]time.Duration // who learns, or has tried to in vain, since when
	freshAt   uint64                   // number of the last founding batch; a node's batches count on from it
	stopping  bool
	stopAt    time.Duration

	lead      Lead
	leadAt    time.Duration
	leadTerm  uint64
	ver       uint64
	table     *wire.Table
	best      wire.Key                        // latest proxies' table merged while warming
	slight    *wire.Table                     // the same without document and state, for those who have them
	changes   map[change]*wire.Table          // the same as changes to earlier ones of this lead
	madeAt    [limit.TablesKept]time.Duration // when each of the last tables was made
	gones     []goneRow                       // targets that are in no table any more, and since which one
	gatesVer  uint64                          // the table that first said the proxies as now
	firstVer  uint64                          // the earliest table of this lead that changes can still be told from
	ids       []wire.ID                       // the targets' identities, as last sorted
	decisions uint64                          // how many there were, and how many when a table was last thought about
	decidedAt uint64
	rebuilt   time.Duration
	demandAt  time.Duration
	gates     map[string]*gate
	targets   map[wire.ID]*target
	claims    map[wire.ID]*target       // words of targets in whose place another stands
	tombs     map[wire.ID]time.Duration // signed off or superseded: refused while it goes on speaking
	left      map[wire.ID]time.Duration // held when it fell silent: held again if it comes back
	outVer    map[wire.ID]uint64        // first table without the target, or with it held, for words that say so
	restored  map[string]time.Duration  // when emptied domains were last restored
	checked   checked
	squeeze   struct{ plain, doc []byte } // the document as last told, and its form in tables
	judge     *judge.Judge
	scorer    *judge.Scorer
	judged    uint64 // revision whose policies are in force
	cfg       *model.Config
	forces    []*force
	pend      map[string]*pending
	relays    map[uint64]*pending
	relaySeq  uint64
	swaps     map[string]bool // members that an operator asked to add
	legacy    []Legacy
	out       []any
	counts    Counts
	cleanAt   time.Duration
	turns     map[string]uint32 // last place dealt in each service, and each name's own
	turnOf    map[[2]string]uint32
	wideUntil uint64            // entry of the roster's last change
	proposed  bool              // the epoch's first state, while adopting
	kept      map[wire.ID]Place // what the log says of targets, with what is under way
	marked    map[wire.ID]bool
	keptAt    time.Duration
	urgent    bool // a word waits for the next write
}

// Counts are the owner's counters.
type Counts struct {
	Rewrites, Same, Bars, Clears, Lapses, Holds, Overruled, Changes, Refused, Elections, Probes, Misses uint64
}

// Legacy is what someone remembers of an earlier epoch.
type Legacy struct {
	Epoch uint64          `json:"epoch"`
	Term  uint64          `json:"term"`
	Seq   uint64          `json:"seq"`
	State json.RawMessage `json:"state"`
}

// Remembered is what a table remembers of its epoch.
func Remembered(t *wire.Table) (Legacy, bool) {
	var s State
	doc, err := wire.Open(t.Doc)
	if err != nil || json.Unmarshal(t.State, &s) != nil {
		return Legacy{}, false
	}
	s.Doc = doc
	b, _ := json.Marshal(s)
	return Legacy{t.Key.Epoch, t.Key.Term, t.Seq, b}, true
}

func (l Legacy) less(o Legacy) bool {
	return cmp.Or(cmp.Compare(l.Epoch, o.Epoch), cmp.Compare(l.Seq, o.Seq), cmp.Compare(l.Term, o.Term)) < 0
}

// New starts a member from what its disk holds; a disk without a number yet is
// given the shell's.
func New(now time.Duration, set Settings, img quorum.Image) *Core {
	c := &Core{set: set, img: img, bootAt: now, known: Book{}, memories: map[string]memory{}, gates: map[string]*gate{},
		pend: map[string]*pending{}, relays: map[uint64]*pending{}, swaps: map[string]bool{}, heard: map[string]heard{}, listed: map[string]listed{}, tried: map[string]time.Duration{}, restored: map[string]time.Duration{}, state: newState(), relaySeq: set.Self.Inc << 20}
	c.set.Self.Disk = img.Disk
	switch {
	case set.Size > 0:
		c.places = set.Size
	case set.Found && slices.Contains(set.Seeds, set.Self.Addr):
		c.places = len(slices.Compact(slices.Sorted(slices.Values(set.Seeds))))
	case img.Lock != 0: // it was restarted while it founded
		c.places = len(img.Founders)
	}
	if img.Epoch != 0 {
		c.start(now)
	}
	return c
}

func (c *Core) start(now time.Duration) {
	c.node = quorum.New(now, c.set.Self.Name, c.img)
	c.restore(&c.img.Snap)
}

func (c *Core) restore(s *wire.Snap) {
	c.state = newState()
	if len(s.Data) > 0 {
		if err := json.Unmarshal(s.Data, &c.state); err != nil {
			panic(fmt.Sprintf("snapshot %d: %v", s.Index, err))
		}
	}
}

func (c *Core) do(cmd any) { c.out = append(c.out, cmd) }

func (c *Core) send(name string, m *wire.Msg) {
	k := c.known[name]
	if k == nil || name == c.set.Self.Name {
		return
	}
	m.To, m.From = name, c.set.Self.Name
	c.do(Send{k.Addr, m})
}

// Step is the owner: one event in, commands out.
func (c *Core) Step(now time.Duration, ev any) []any {
	c.leadership(now) // time may have passed since the last step, and with it the grant
	switch e := ev.(type) {
	case Recv:
		c.recv(now, e.M)
	case Tick:
		c.tick(now)
	case Synced:
		c.synced(now, e.Seq)
	case Probed:
		c.probed(now, e)
	case Ask:
		c.ask(now, e)
	case Stop:
		if !c.stopping {
			c.stopping, c.stopAt = true, now
			c.hello(now)
			if c.node != nil && c.node.Yield(now) {
				c.do(Change{"leadership", c.set.Self.Name, "", "stopping"})
			}
		}
	}
	c.drain(now)
	c.leadership(now)
	if c.lead == Deciding {
		c.settle(now)
		c.drain(now)
	}
	o := c.out
	c.out = nil
	return o
}

// drain carries out what the node left to do.
func (c *Core) drain(now time.Duration) {
	for c.node != nil {
		o := c.node.Take()
		if len(o.Batches)+len(o.Send)+len(o.Apply) == 0 && o.Restore == nil {
			return
		}
		for _, b := range o.Batches {
			b.Seq += c.freshAt
			c.img.Fold(b)
			c.do(Sync{b})
		}
		for _, m := range o.Send {
			c.send(m.To, m)
		}
		if o.Restore != nil {
			c.restore(o.Restore)
		}
		for _, e := range o.Apply {
			c.apply(now, e)
		}
		if c.node.Full() {
			b, _ := json.Marshal(c.state)
			c.node.Compact(now, b)
		}
	}
}

func (c *Core) synced(now time.Duration, seq uint64) {
	c.safeSeq = max(c.safeSeq, seq)
	if c.node != nil && seq > c.freshAt {
		c.node.Synced(now, seq-c.freshAt)
	}
}

// whole syncs an image that replaces all before it.
func (c *Core) whole() {
	if c.node != nil {
		panic("founding over a running node")
	}
	c.freshAt++
	b := c.img.Whole()
	b.Seq = c.freshAt
	c.do(Sync{b})
}

func (c *Core) tick(now time.Duration) {
	every := limit.HelloEvery
	if now-c.bootAt < limit.HelloHaste && c.led(now) == "" {
		every = limit.ElectAsk // members that start together know no one's address yet
	}
	if now-c.helloAt >= every {
		c.helloAt = now
		c.hello(now)
		c.claim()
		for n, k := range c.known {
			if now-k.At > limit.DaemonGone {
				delete(c.known, n)
			}
		}
		c.found(now)
		c.via = c.leader(now)
	}
	if c.node != nil && !c.retired() {
		c.node.Tick(now)
	}
	for _, t := range slices.Sorted(maps.Keys(c.pend)) {
		if p := c.pend[t]; now-p.at > limit.AskWait {
			delete(c.pend, t)
			c.unknown(p)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.relays)) {
		p := c.relays[id]
		switch l := c.relayTo(now); {
		case now-p.at > limit.AskWait+limit.CoreGrant, p.word && now-p.at > limit.WordWait:
			delete(c.relays, id)
			c.unknown(p)
		case c.lead == Deciding:
			delete(c.relays, id)
			p.passes++
			c.operate(now, p, p.call)
		case l != "" && l != c.set.Self.Name && (l != p.to || p.word && now-p.passAt > limit.WordAgain):
			c.pass(now, id, p, l) // under its id a change is made once, whoever hears it how often
		}
	}
	if c.stopping && (now-c.stopAt > limit.ElectMin || c.node == nil || c.node.Role() != quorum.Leader && now-c.stopAt > limit.CoreGrant) {
		c.do(Exit{})
	}
	if c.lead >= Warming {
		c.watch(now)
	}
}

// ---- messages ----

func (c *Core) recv(now time.Duration, m *wire.Msg) {
	switch wire.Kind(m.Kind) {
	case wire.KHello:
		if m.Hello == nil {
			return
		}
		c.known.Meet(now, c.set.Self.Name, m.Hello)
		if d := m.Hello.Self; d.Kind == "core" && d.Name != c.set.Self.Name {
			c.heard[d.Name] = heard{now, d.Domain, d.State == stoppingState}
		}
		if len(m.Hello.Legacy) > 0 {
			var l Legacy
			if b, err := wire.Open(m.Hello.Legacy); err == nil && json.Unmarshal(b, &l) == nil {
				c.remember(l)
				if m.Hello.Self.Kind == "gate" {
					c.recall(m.From, l)
				}
			}
		}
		if !m.Hello.Reply {
			c.send(m.From, c.helloMsg(now, m.From, true))
		}
	case wire.KVote, wire.KAppend:
		if m.Epoch < c.img.Founding {
			return // this member has promised to found a later epoch and takes no more part in this one
		}
		if m.Append != nil && !m.Append.Reply && (c.node == nil || m.Epoch > c.node.Epoch()) {
			// An empty member, or one of an older epoch that has been passed by, learns from a leader.
			if m.Epoch == c.lockedFor() {
				c.establish(now) // a founder that had not seen all the locks: what it remembers counts
			} else {
				c.join(now, m.Epoch)
			}
		}
		if c.node != nil {
			c.node.Recv(now, m)
		}
	case wire.KPull:
		c.pull(now, m)
	case wire.KBeat:
		if m.Beat != nil {
			c.beat(now, *m.Beat, m.Stamp == 0)
		}
	case wire.KAsk:
		if m.Ask == nil {
			return
		}
		if m.Ask.Reply {
			if p := c.relays[m.Ask.Id]; p != nil && p.to == m.From {
				if p.word && m.Ask.Status == 503 {
					return // it is passed on again while it may wait
				}
				if p.passes > 1 && m.Ask.Status == 503 {
					p.to = "" // an earlier leader may have agreed it: the next that decides will know
					return
				}
				delete(c.relays, m.Ask.Id)
				c.answer(p, Reply{p.ask, int(m.Ask.Status), time.Duration(m.Ask.RetryMs) * time.Millisecond, m.Ask.Body})
			}
			return
		}
		c.operate(now, &pending{token: m.Ask.Token, at: now, relay: m.From, rid: m.Ask.Id}, m.Ask)
	}
}

// ---- leading ----

func (c *Core) setLead(now time.Duration, l Lead, why string) {
	if l == c.lead {
		return
	}
	c.do(Change{"lead", c.lead.String(), l.String(), why})
	c.lead, c.leadAt = l, now
	switch l {
	case Idle:
		for _, t := range slices.Sorted(maps.Keys(c.pend)) {
			c.unknown(c.pend[t])
		}
		for _, f := range c.forces {
			if f.p != nil {
				c.unknown(f.p)
			}
		}
		c.forces = nil
		clear(c.pend)
	case Adopting:
		c.proposed = false
	case Warming:
		c.targets, c.claims, c.judge, c.judged = map[wire.ID]*target{}, map[wire.ID]*target{}, judge.New(), 0
		c.scorer = judge.NewScorer(c.judge)
		c.turns, c.turnOf = map[string]uint32{}, map[[2]string]uint32{}
		c.tombs, c.left = map[wire.ID]time.Duration{}, map[wire.ID]time.Duration{}
		c.outVer = map[wire.ID]uint64{}
		c.table, c.slight, c.ids, c.best, c.wideUntil = nil, nil, nil, wire.Key{}, 0
		c.changes, c.gones, c.gatesVer, c.firstVer = nil, nil, c.ver+1, c.ver+1
		c.policies()
		c.recollect(now)
		// Whatever an earlier leader granted may still run.
		for _, g := range c.gates {
			g.grantAt, g.told, g.key, g.revision, g.seq = now, false, wire.Key{}, 0, 0
			g.sent, g.flying = wire.Key{}, 0
		}
		for _, n := range append(c.state.names(), c.state.Was...) {
			if c.gates[n] == nil {
				c.gates[n] = &gate{grantAt: now}
			}
		}
		c.counts.Elections++
		c.announce(now)
	}
}

// announce tells every daemon at once who leads now; the roster's proxies need not have
// been heard for that.
func (c *Core) announce(now time.Duration) {
	for _, r := range c.state.Roster {
		if c.known[r.Name] == nil {
			c.known[r.Name] = &Known{Daemon: wire.Daemon{Name: r.Name, Kind: "gate", Addr: r.Addr, Domain: r.Domain}, At: now - limit.DaemonGone/2}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.known)) {
		c.do(Send{c.known[n].Addr, c.helloMsg(now, n, true)})
	}
}

func (c *Core) leadership(now time.Duration) {
	leads := c.node != nil && !c.stopping && !c.retired() && c.node.Leads(now)
	if !leads {
		c.setLead(now, Idle, "no grant from a majority")
		return
	}
	if c.leadTerm != c.node.Term() {
		c.setLead(now, Idle, "new term")
		c.leadTerm = c.node.Term()
	}
	switch c.lead {
	case Idle:
		if !c.state.Adopted {
			c.legacy = nil
			if len(c.img.Legacy) > 0 {
				var l Legacy
				if json.Unmarshal(c.img.Legacy, &l) == nil {
					c.remember(l)
				}
			}
			for _, n := range slices.Sorted(maps.Keys(c.memories)) {
				c.remember(c.memories[n].Legacy)
			}
			c.setLead(now, Adopting, "elected in a new epoch")
		} else {
			c.setLead(now, Warming, "elected")
		}
	case Adopting:
		if c.state.Adopted {
			c.setLead(now, Warming, "epoch's first state agreed")
		} else if now-c.leadAt > limit.LegacyWait && !c.proposed {
			best := Legacy{}
			for _, l := range c.legacy {
				if best.less(l) {
					best = l
				}
			}
			c.proposed = true
			c.propose(now, order{Op: "adopt", State: best.State})
		}
	case Warming:
		told, need := 0, 0
		for _, r := range c.state.Roster {
			need++
			if g := c.gates[r.Name]; g != nil && g.told {
				told++
			}
		}
		if told == need && (need > 0 || now-c.leadAt > limit.FirstRoster) || now-c.leadAt > limit.WarmLeader ||
			2*told > need && now-c.leadAt > limit.WarmLeader/3 {
			c.setLead(now, Deciding, fmt.Sprintf("heard %d of %d proxies", told, need))
			c.rebuild(now, true)
			if len(c.state.Was) > 0 {
				c.forces = append(c.forces, &force{ver: c.ver, since: now, wide: true})
			}
			for _, id := range slices.SortedFunc(maps.Keys(c.targets), wire.ID.Compare) {
				if c.targets[id].Pending {
					c.forces = append(c.forces, &force{ver: c.ver, since: now, clear: id})
				}
			}
		}
	}
}

func (c *Core) remember(l Legacy) {
	if c.node != nil && !c.state.Adopted && l.Epoch < c.node.Epoch() && len(l.State) > 0 {
		c.legacy = append(c.legacy, l)
	}
}

func (c *Core) policies() {
	if c.judged == c.state.Revision && c.judged != 0 {
		return
	}
	cfg := c.checked.cfg
	if cfg == nil || !bytes.Equal(c.checked.doc, c.state.Doc) {
		var err error
		if cfg, _, err = judge.CheckConfig(c.state.Doc); err != nil {
			panic(fmt.Sprintf("agreed configuration %d: %v", c.state.Revision, err))
		}
	}
	c.cfg = cfg
	c.judge.Replace(cfg)
	c.judged = c.state.Revision
}

// ---- proxies ----

func (c *Core) inRoster(name string) bool {
	return slices.ContainsFunc(c.state.Roster, func(g Gate) bool { return g.Name == name })
}

func (c *Core) pull(now time.Duration, m *wire.Msg) {
	if m.Pull == nil {
		return
	}
	k, inc := c.known[m.From], m.Pull.Self.Inc
	switch {
	case m.Pull.Self.Name == "": // it goes on as it said before
		if k == nil || k.Inc != m.Disk {
			return // and tells all of itself when it hears nothing
		}
		k.At, inc = now, m.Disk
	case k == nil || k.Inc != inc:
		c.known.Meet(now, c.set.Self.Name, &wire.Hello{Self: m.Pull.Self})
	default:
		k.At, k.Daemon = now, m.Pull.Self
	}
	if t := m.Pull.Table; t != nil && c.lead == Adopting && t.Key.Epoch < c.node.Epoch() {
		if l, ok := Remembered(t); ok {
			c.remember(l)
		}
	}
	if c.lead == Idle {
		return
	}
	g := c.gates[m.From]
	if g == nil {
		g = &gate{}
		c.gates[m.From] = g
	}
	if inc != g.inc {
		if slices.Contains(g.past, inc) {
			return // a late word of a process that is gone
		}
		g.past = append(g.past, g.inc)
		g.inc, g.key, g.stamp, g.revision, g.seq = inc, wire.Key{}, 0, 0, 0
		g.sent, g.flying = wire.Key{}, 0
	}
	g.pullAt = now
	g.stamp = max(g.stamp, m.Stamp)
	if c.table == nil || g.key != m.Pull.Key || m.Pull.Key == c.table.Key {
		g.movedAt = now
	}
	g.key = m.Pull.Key
	if !g.key.Less(g.sent) || now-g.sentAt > flight(g.flying) {
		g.sent, g.flying = wire.Key{}, 0
	}
	if t := m.Pull.Table; t != nil && c.lead >= Warming && !g.told {
		g.told = true
		c.merge(now, t)
		c.rebuild(now, false)
	}
	g.revision, g.seq = m.Pull.Revision, m.Pull.Seq
	if m.Pull.Key == (wire.Key{}) {
		g.told = true // nothing to tell
	}
	for _, s := range m.Pull.Seen {
		if t := c.targets[wire.ID{Service: s.Service, Name: s.Name, Inc: s.Inc}]; t != nil {
			if s.Ok > 0 || s.Alive {
				t.okAt, t.told, t.misses = now, false, 0
			}
			t.seen.Ok += s.Ok
			t.seen.Errors += s.Errors
			t.seen.Slow += s.Slow
			t.seen.SumMs += s.SumMs
			if s.HasDemand {
				t.Demand, t.HasDemand = s.Demand, true
			}
		}
	}
	if c.lead != Deciding {
		c.push(m.From, g, false)
		return
	}
	// One that asks but does not take what it is sent hears nothing: it must not hold up
	// what is to be in force, so it is granted nothing more.
	c.push(m.From, g, c.inRoster(m.From) && now-g.movedAt < limit.GateDeaf && !c.lags(now, g.key))
}

// lags says that a proxy stands on a table of this lead that has not been the latest for too long.
func (c *Core) lags(now time.Duration, k wire.Key) bool {
	if !c.ours(k) || k.Ver >= c.ver {
		return false
	}
	return c.ver-k.Ver >= limit.TablesKept || now-c.madeAt[(k.Ver+1)%limit.TablesKept] >= limit.GateDeaf
}

// ours says that a key is one of this lead's tables.
func (c *Core) ours(k wire.Key) bool {
	return c.table != nil && k.Epoch == c.table.Key.Epoch && k.Term == c.table.Key.Term && k.Ver != 0
}

// flight is how long tables of so many bytes may be under way.
func flight(bytes int) time.Duration {
	return limit.PullEvery + time.Duration(bytes)*time.Second/limit.SlowLink
}

// weight is about how many bytes a table takes on its way.
func weight(t *wire.Table) int {
	return len(t.Doc) + len(t.State) + limit.RowBytes*(len(t.Targets)+len(t.Gates)+len(t.Gone)+1)
}

// push sends a proxy what it lacks, unless enough is under way to it: it asks again when it
// has that. A grant runs from the proxy's own stamp, and is for the table that it names or
// that comes with it.
func (c *Core) push(name string, g *gate, grant bool) {
	p := &wire.Push{Grant: grant, Want: !g.told}
	if c.lead == Deciding && c.table != nil {
		p.Key = c.table.Key
		if g.key != c.table.Key {
			p.Table = c.lacking(g)
			if n := weight(p.Table); g.flying == 0 || g.flying+n <= limit.FlightBytes {
				g.sent, g.sentAt = p.Key, g.pullAt
				g.flying += n
			} else {
				p.Table = nil
				if c.ours(g.key) {
					p.Key = g.key
				}
			}
		}
		if grant {
			g.grantAt = max(g.grantAt, g.pullAt)
		}
	}
	// The stamp is the proxy's own and means nothing to a later process of its name.
	c.send(name, &wire.Msg{Kind: uint16(wire.KPush), Epoch: c.node.Epoch(), Term: c.node.Term(), Stamp: g.stamp, Disk: g.inc, Push: p})
}

// lacking is the table for a proxy: only what changed since the one that it holds, if that
// is of this lead; else all, but for a document and state that it has.
func (c *Core) lacking(g *gate) *wire.Table {
	doc, state := g.revision != c.table.Revision, g.seq != c.table.Seq
	if c.ours(g.key) && g.key.Ver >= c.firstVer && g.seq != 0 {
		k := change{g.key.Ver, state, doc}
		if c.changes[k] == nil {
			if c.changes == nil {
				c.changes = map[change]*wire.Table{}
			}
			c.changes[k] = c.since(k)
		}
		return c.changes[k]
	}
	if g.key.Epoch == c.table.Key.Epoch && !doc && !state && g.seq != 0 {
		if c.slight == nil {
			t := *c.table
			t.Doc, t.State = nil, nil
			c.slight = &t
		}
		return c.slight
	}
	return c.table
}

// since is the table as a change to an earlier one.
func (c *Core) since(k change) *wire.Table {
	t := *c.table
	t.Base, t.Targets, t.Gone = wire.Key{Epoch: t.Key.Epoch, Term: t.Key.Term, Ver: k.base}, nil, nil
	if !k.doc {
		t.Doc = nil
	}
	if !k.state {
		t.State = nil
	}
	if c.gatesVer <= k.base {
		t.Gates = nil
	}
	for i := range c.table.Targets {
		if w := &c.table.Targets[i]; c.targets[w.ID()] == nil || c.targets[w.ID()].row > k.base {
			t.Targets = append(t.Targets, *w)
		}
	}
	for _, o := range c.gones {
		if o.ver > k.base {
			t.Gone = append(t.Gone, o.id)
		}
	}
	return &t
}

// merge takes what a proxy's table says of targets from before this lead: which
// targets there are from the latest table heard, holds and bars from all.
func (c *Core) merge(now time.Duration, b *wire.Table) {
	if c.lead == Warming && c.best.Less(b.Key) {
		c.best = b.Key
		for id, t := range c.targets {
			if t.told {
				delete(c.targets, id) // known only from an earlier table, or from the log
				if t.Held {
					c.left[id] = now
				}
			}
		}
		for _, w := range b.Targets {
			if c.targets[w.ID()] != nil || c.tombs[w.ID()] != 0 {
				continue
			}
			if len(c.rivals(w)) > 0 {
				c.displaced(w)
				continue
			}
			t := &target{Target: w, told: true, beatAt: now - limit.BeatLapse/2, aliveAt: now, probeAt: now - limit.ProbeEvery, seenAt: now}
			t.BarLeft, t.BarWhy, t.Held, t.ColdLeft = 0, "", false, 0
			c.targets[w.ID()] = t
			if c.left[w.ID()] != 0 {
				c.hold(now, t, "it was leaving, as agreed")
			}
			c.turns[w.Service] = max(c.turns[w.Service], w.Turn)
			c.turnOf[[2]string{w.Service, w.Name}] = w.Turn
		}
	}
	for _, w := range b.Targets {
		t := c.targets[w.ID()]
		if t == nil {
			continue
		}
		if w.Held {
			c.hold(now, t, "a proxy's table holds it")
		}
		t.coldTill = max(t.coldTill, now+time.Duration(w.ColdLeft))
		c.chill(t)
		if w.BarLeft > 0 && c.lead == Warming {
			c.judge.Adopt(now, w.ID(), w.BarWhy, time.Duration(w.BarLeft))
		}
	}
}

// displaced has a target at w's address wait until w, which a table still names,
// is out of every table.
func (c *Core) displaced(w wire.Target) {
	for _, t := range c.targets {
		if t.Addr == w.Addr && t.Name != w.Name {
			t.Pending = true
		}
	}
}

// ---- targets ----

func (c *Core) hold(now time.Duration, t *target, why string) {
	if t.Held {
		return
	}
	t.Held, t.State = true, model.Leaving
	c.counts.Holds++
	d := judge.Decision{At: now, Policy: "leaving", Kind: "hold", Service: t.Service, Name: t.Name, Inc: t.Inc, Why: why}
	c.do(Note{Decision: &d})
}

// drop takes a target's entry away; silence alone refuses nobody.
func (c *Core) drop(now time.Duration, id wire.ID, why string) {
	t := c.targets[id]
	if t == nil {
		return
	}
	delete(c.targets, id)
	if t.Held {
		c.left[id] = now
	}
	c.scorer.Forget(now, id)
	d := judge.Decision{At: now, Policy: "registry", Kind: "gone", Service: id.Service, Name: id.Name, Inc: id.Inc, Why: why}
	c.do(Note{Decision: &d})
}

// beat takes a back end's word, straight or passed on. A word whose number is not over
// the highest heard is old and changes nothing.
func (c *Core) beat(now time.Duration, w wire.Target, passOn bool) {
	if c.lead != Deciding && c.lead != Warming {
		if passOn {
			c.send(c.leader(now), &wire.Msg{Kind: uint16(wire.KBeat), Stamp: 1, Beat: &w})
		}
		return
	}
	id := w.ID()
	if c.tombs[id] != 0 {
		c.tombs[id] = now
		return
	}
	t := c.targets[id]
	if w.State == model.Gone {
		c.drop(now, id, "signed off")
		delete(c.claims, id)
		c.tombs[id] = now
		c.rebuild(now, false)
		return
	}
	if o := cmp.Or(t, c.claims[id]); o != nil && w.Number != 0 && w.Number <= o.Number {
		return
	}
	if t != nil && t.Addr != w.Addr && w.State != model.Leaving {
		c.counts.Refused++
		return
	}
	if t == nil {
		if w.State == model.Leaving {
			c.left[id] = now // also if it only claims its place so far
		}
		if t = c.register(now, w); t == nil {
			return
		}
	}
	c.note(now, t, w)
	c.advanceState(now, t, w.State)
	e := judge.Event{At: now, Slice: "beat", Service: t.Service, Name: t.Name, Inc: t.Inc, Ok: true, State: t.State}
	c.judgeEvent(e)
	if t.HasDemand {
		c.judgeEvent(judge.Event{At: now, Slice: "demand", Service: t.Service, Name: t.Name, Inc: t.Inc, Demand: t.Demand})
	}
	c.moved(now, t)
}

// note takes over what a word says beside its state.
func (c *Core) note(now time.Duration, t *target, w wire.Target) {
	c.spoke(now, t)
	t.aliveAt = now
	if w.HasDemand {
		t.Demand, t.HasDemand = w.Demand, true
	}
	if w.Slots != 0 {
		t.Slots = w.Slots
	}
	t.Number = max(t.Number, w.Number)
	if w.ColdLeft > 0 {
		t.coldTill = max(t.coldTill, now+time.Duration(w.ColdLeft))
	} else if w.Number != 0 && w.Number >= t.warmFrom {
		t.coldTill = 0
	}
}

// cold is how much longer a target is cold.
func (t *target) cold(now time.Duration) int64 { return max(0, int64(t.coldTill-now)) }

// chill has a target of a restored domain be cold: it may have become so while nothing
// was sent there. A word that was under way by then says nothing of it, so the next
// number does not end it yet.
func (c *Core) chill(t *target) {
	at, was := c.restored[t.Domain]
	svc := c.cfg.Services[t.Service]
	if till := at + svc.Cold(); was && till > t.coldTill {
		t.coldTill, t.warmFrom = till, t.Number+2
	}
}

// advanceState moves a target only forward: what has said that it is leaving
// stays held until it signs off.
func (c *Core) advanceState(now time.Duration, t *target, s string) {
	switch {
	case s == model.Leaving:
		c.hold(now, t, "a beat says leaving")
	case s == model.Ready && !t.Held:
		t.State = s
	}
}

// spoke counts a beat. One alone proves nothing, since it may be a late one of a
// start that is over; who goes on beating is there, even if no probe gets through.
func (c *Core) spoke(now time.Duration, t *target) {
	t.beatAt = now
	t.voice.Hear(now)
	t.told = t.told && !t.voice.Speaks(now)
}

// beats is what the table says of it: one that misses its probes has to speak on.
func (t *target) beats(now time.Duration) bool {
	return now-t.beatAt < limit.BeatLapse && (t.misses < limit.ProbeMisses || t.voice.Speaks(now))
}

// rivals are the known targets under w's name or at its address.
func (c *Core) rivals(w wire.Target) (l []*target) {
	for id, o := range c.targets {
		if id != w.ID() && (id.Service == w.Service && id.Name == w.Name || o.Addr == w.Addr) {
			l = append(l, o)
		}
	}
	slices.SortFunc(l, func(a, b *target) int { return a.ID().Compare(b.ID()) })
	return l
}

// register takes in a target that is new. Where another stands under its name or
// at its address it only claims that place, and its own answer to a probe decides.
func (c *Core) register(now time.Duration, w wire.Target) *target {
	t := c.claims[w.ID()]
	if t == nil {
		t = &target{Target: wire.Target{Service: w.Service, Name: w.Name, Inc: w.Inc, Addr: w.Addr, Domain: w.Domain, State: model.Warming},
			beatAt: now, aliveAt: now, probeAt: now - limit.ProbeEvery, seenAt: now, told: true}
	}
	if len(c.rivals(w)) > 0 {
		t.Addr = w.Addr
		c.note(now, t, w)
		c.claims[w.ID()] = t
		if !c.succeed(now, t, false) {
			return nil
		}
	}
	c.enter(now, t, w.State)
	return t
}

// succeed lets a claimant have its place if those who stand there don't hold it:
// an answer at the very address says whose it is; an incumbent elsewhere that
// lives stays, by the design's incumbency, and keeps its name until it leaves or
// misses its probes. proved is the claimant's own answer.
func (c *Core) succeed(now time.Duration, t *target, proved bool) bool {
	rs := c.rivals(t.Target)
	for _, o := range rs {
		lives := !o.told && !o.Held && o.misses < limit.ProbeMisses
		silent := now-o.beatAt > limit.BeatLapse && o.misses >= limit.ProbeMisses
		if proved && o.Addr != t.Addr && lives || !proved && (t.told || !silent) {
			return false
		}
	}
	for _, o := range rs {
		c.drop(now, o.ID(), "superseded by another start, or at its address by another target")
		c.tombs[o.ID()] = now
		t.freed = t.freed || o.Addr == t.Addr && (o.Service != t.Service || o.Name != t.Name)
	}
	delete(c.claims, t.ID())
	return true
}

// enter puts a target into the registry.
func (c *Core) enter(now time.Duration, t *target, state string) {
	id := t.ID()
	if state == model.Ready {
		t.State = model.Ready
	}
	t.Pending = t.freed
	name := [2]string{id.Service, id.Name}
	if c.turnOf[name] == 0 {
		c.turns[id.Service]++
		c.turnOf[name] = c.turns[id.Service]
	}
	t.Turn = c.turnOf[name] // a restart keeps it: orphans may have dealt by it already
	c.targets[id] = t
	if c.left[id] != 0 {
		c.hold(now, t, "it was leaving when it fell silent")
	}
	if t.Pending && c.lead == Deciding {
		c.rebuild(now, true)
		c.forces = append(c.forces, &force{ver: c.ver, since: now, clear: id})
	}
}

func (c *Core) judgeEvent(e judge.Event) {
	c.do(Note{Event: &e})
	c.decided(c.scorer.Step(e))
}

func (c *Core) decided(ds []judge.Decision) {
	for i := range ds {
		if !ds[i].Shadow {
			c.decisions++
			switch ds[i].Kind {
			case "bar":
				c.counts.Bars++
			case "clear":
				c.counts.Clears++
			case "lapse":
				c.counts.Lapses++
			}
		}
		c.do(Note{Decision: &ds[i]})
	}
}

// watch is the watchdog and what else recurs while deciding.
func (c *Core) watch(now time.Duration) {
	for _, id := range c.sorted() {
		t := c.targets[id]
		c.probe(now, id, t)
		if now-t.seenAt >= limit.SeenEvery {
			t.seenAt = now
			if s := t.seen; s.Ok+s.Errors > 0 {
				t.seen = wire.Seen{}
				c.judgeEvent(judge.Event{At: now, Slice: "exchange", Service: t.Service, Name: t.Name, Inc: t.Inc,
					Count: int(s.Ok + s.Errors), Errors: int(s.Errors), Slow: int(s.Slow), Ms: s.SumMs})
			}
		}
		if silent := now - t.beatAt; silent > limit.BeatLapse && now-t.silentAt >= limit.SeenEvery {
			t.silentAt = now
			c.judgeEvent(judge.Event{At: now, Slice: "beat", Service: t.Service, Name: t.Name, Inc: t.Inc, State: t.State, Ms: float64(silent) / 1e6})
		}
		if now-t.aliveAt > limit.TargetGone {
			c.drop(now, id, "silent and unreachable")
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.claims), wire.ID.Compare) {
		t := c.claims[id]
		if now-t.beatAt > limit.BeatLapse {
			delete(c.claims, id)
		} else {
			c.probe(now, id, t)
		}
	}
	if now-c.cleanAt > limit.ReconcileEvery {
		c.cleanAt = now
		old := func(_ wire.ID, at time.Duration) bool { return now-at > limit.TombKeep }
		maps.DeleteFunc(c.tombs, old)
		if len(c.turnOf) > 2*len(c.targets)+limit.NamesKept {
			c.turnOf = map[[2]string]uint32{} // names that never come back; a new place costs little
		}
		maps.DeleteFunc(c.left, old)
		maps.DeleteFunc(c.outVer, func(id wire.ID, _ uint64) bool {
			return c.targets[id] == nil && c.claims[id] == nil && c.tombs[id] == 0
		})
	}
	c.decided(c.scorer.Tick(now))
	if c.lead != Deciding {
		return
	}
	c.rebuild(now, now-c.rebuilt >= limit.ReconcileEvery)
	c.members(now)
	c.roster(now)
	c.keep(now, limit.KeepEvery)
}

func (c *Core) probe(now time.Duration, id wire.ID, t *target) {
	if t.sentAt != 0 && now-t.sentAt > 2*limit.ProbeCap {
		t.sentAt = 0 // the shell never answered
	}
	svc, named := c.cfg.Services[id.Service]
	if !named { // nothing is sent there; once it is, probes are spread, and who beat and fell silent must answer one
		t.probeAt = now - limit.ProbeEvery + time.Duration(t.Turn)*limit.TickEvery%limit.NamedSpread
		t.told = t.told || t.voice.words >= limit.ProofWords && now-t.beatAt > limit.NamedSilent
		return
	}
	if t.sentAt == 0 && now-t.probeAt >= limit.ProbeEvery {
		t.probeAt, t.sentAt = now, now
		c.counts.Probes++
		c.do(Probe{id, t.Addr, svc.HealthPath})
	}
	if t.missed && t.misses < limit.ProbeMisses && t.sentAt != 0 && t.askedFor != t.sentAt && now-t.sentAt >= limit.IndirectAfter &&
		t.okAt < t.sentAt+limit.IndirectAfter && !t.Held && t.State != model.Leaving {
		t.askedFor = t.sentAt
		c.indirect(now, id)
	}
}

// indirect has some proxies probe a target that the leader itself can't reach, so that a
// trouble of the leader's own bars nobody. They are drawn anew each time, from as many
// domains as can be and the leader's own last: what troubles it may trouble its neighbours.
func (c *Core) indirect(now time.Duration, id wire.ID) {
	type choice struct {
		name, domain string
		nth          int // of its domain
		close        int
		draw         uint32
	}
	var all []choice
	for _, r := range c.state.Roster {
		if g := c.gates[r.Name]; g != nil && g.told && c.live(now, r.Name) {
			h := fnv.New32a()
			fmt.Fprint(h, r.Name, id, now)
			k := choice{name: r.Name, domain: r.Domain, draw: h.Sum32()}
			if r.Domain == c.set.Self.Domain {
				k.close = 1
			}
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b choice) int { return cmp.Or(cmp.Compare(a.draw, b.draw), cmp.Compare(a.name, b.name)) })
	met := map[string]int{}
	for i := range all {
		all[i].nth = met[all[i].domain]
		met[all[i].domain]++
	}
	slices.SortStableFunc(all, func(a, b choice) int { return cmp.Or(cmp.Compare(a.nth, b.nth), cmp.Compare(a.close, b.close)) })
	for _, k := range all[:min(len(all), limit.IndirectProbes)] {
		g := c.gates[k.name]
		p := &wire.Push{Key: g.key, Probe: []wire.ID{id}}
		c.send(k.name, &wire.Msg{Kind: uint16(wire.KPush), Epoch: c.node.Epoch(), Term: c.node.Term(), Stamp: g.stamp, Disk: g.inc, Push: p})
	}
}

func (c *Core) probed(now time.Duration, p Probed) {
	if c.lead < Warming {
		return
	}
	t := c.targets[p.ID]
	if t == nil {
		if t = c.claims[p.ID]; t == nil {
			return
		}
		t.sentAt = 0
		if b := p.Beat; b == nil || b.ID() != p.ID || !c.succeed(now, t, true) {
			return
		}
		c.enter(now, t, p.Beat.State)
	}
	t.sentAt = 0
	proved := t.told
	e := judge.Event{At: now, Slice: "probe", Service: t.Service, Name: t.Name, Inc: t.Inc, Ms: p.Ms}
	b := p.Beat
	e.Ok = b != nil && b.ID() == p.ID
	t.missed = !e.Ok
	if !e.Ok {
		c.counts.Misses++
		if t.okAt-limit.PullEvery >= p.SentAt {
			// A proxy has had an answer from it since this probe went out: the miss is the leader's own.
			c.counts.Overruled++
			return
		}
		t.misses++
	} else {
		t.aliveAt, t.told, t.misses = now, false, 0
		c.advanceState(now, t, b.State)
		if b.Demand != nil {
			t.Demand, t.HasDemand = *b.Demand, true
		}
		t.coldTill = max(t.coldTill, now+p.Cold) // that it says nothing of it ends nothing
	}
	c.judgeEvent(e)
	if proved && !t.told {
		return // many prove themselves at once after a loss: the next tick tells of all
	}
	c.moved(now, t)
}

// ---- tables ----

// rebuild makes the table anew and sends it everywhere, if it says anything new
// (the signature decides) or if the regular refresh is due.
func (c *Core) rebuild(now time.Duration, refresh bool) {
	if c.lead != Deciding {
		return
	}
	if !refresh {
		switch c.news(now) {
		case same:
			c.counts.Same++
			return
		case patient:
			if now-c.madeAt[c.ver%limit.TablesKept] < limit.TableEvery+time.Duration(len(c.targets)*len(c.state.Roster))*limit.TableRow {
				return // the next tick sees it again
			}
		}
	}
	t := &wire.Table{Was: c.state.Was, Seq: c.state.Seq, Revision: c.state.Revision, Doc: c.squeezed(), State: c.state.slim(c.node.Members()), Emptied: c.state.Emptied}
	c.ver++
	c.madeAt[c.ver%limit.TablesKept] = now
	for _, r := range c.state.Roster {
		t.Gates = append(t.Gates, wire.Gate{Name: r.Name, Addr: r.Addr, Domain: r.Domain, Live: c.live(now, r.Name)})
	}
	if c.table == nil || !slices.Equal(t.Gates, c.table.Gates) {
		c.gatesVer = c.ver
	}
	t.Targets = make([]wire.Target, 0, len(c.targets))
	for _, id := range c.sorted() {
		w, o := c.tabled(now, c.targets[id]), c.targets[id]
		moved := func(was, left int64) bool { return left > 0 && max(was-left, left-was) > int64(limit.LeftStep) }
		if f := factsOf(&w); f != o.shown || math.Abs(w.Demand-o.shownDemand) >= limit.DemandStep/4 ||
			moved(int64(o.shownBar-now), w.BarLeft) || moved(int64(o.shownCold-now), w.ColdLeft) {
			o.shown, o.shownDemand, o.row = f, w.Demand, c.ver
			o.shownBar, o.shownCold = now+time.Duration(w.BarLeft), now+time.Duration(w.ColdLeft)
		}
		t.Targets = append(t.Targets, w)
	}
	if c.table != nil {
		for i := range c.table.Targets {
			if id := c.table.Targets[i].ID(); c.targets[id] == nil {
				c.gones = append(c.gones, goneRow{c.ver, id})
			}
		}
	}
	for len(c.gones) > limit.GonesKept {
		c.firstVer = max(c.firstVer, c.gones[0].ver)
		c.gones = c.gones[1:]
	}
	c.counts.Rewrites++
	c.demandAt = now
	if refresh {
		c.rebuilt = now
	}
	t.Key = wire.Key{Epoch: c.node.Epoch(), Term: c.node.Term(), Ver: c.ver}
	c.table, c.slight, c.changes = t, nil, nil
	for _, n := range slices.Sorted(maps.Keys(c.gates)) {
		if g := c.gates[n]; c.inRoster(n) && now-g.pullAt < limit.GateLive {
			if now-g.sentAt > flight(g.flying) {
				g.sent, g.flying = wire.Key{}, 0
			}
			if g.flying == 0 || g.flying < limit.FlightBytes {
				c.push(n, g, now-g.movedAt < limit.GateDeaf && !c.lags(now, g.key))
				g.sentAt = max(g.sentAt, now)
			}
		}
	}
}

// squeezed is the document as tables carry it.
func (c *Core) squeezed() []byte {
	if !bytes.Equal(c.squeeze.plain, c.state.Doc) {
		c.squeeze.plain, c.squeeze.doc = c.state.Doc, wire.Squeeze(c.state.Doc)
	}
	return c.squeeze.doc
}

// facts are what decides in a table about one target; the rest is carried along.
type facts struct {
	addr, domain, state, bar            string
	held, pending, beating, cold, known bool
	slots                               uint32
}

func factsOf(w *wire.Target) facts {
	return facts{w.Addr, w.Domain, w.State, w.BarWhy, w.Held, w.Pending, w.Beating && w.BarLeft > 0, w.ColdLeft > 0, true, w.Slots}
}

// colder says that a target is cold for longer than the last table said; each word's
// own way here moves the end a little, which is none.
func (t *target) colder(now time.Duration) bool {
	return t.coldTill > now && t.coldTill > t.shownCold+limit.LeftStep
}

// tabled is a target as a table made now says it.
func (c *Core) tabled(now time.Duration, t *target) wire.Target {
	w := t.Target
	if _, named := c.cfg.Services[t.Service]; named { // else it is told once that matters
		w.Pending = w.Pending || t.told
	}
	until, why := c.judge.Barred(now, t.ID())
	w.BarLeft, w.BarWhy = max(0, int64(until-now)), why
	w.Beating = why == "" || t.beats(now) // asked only where all that could be used are barred
	w.ColdLeft = t.cold(now)
	return w
}

func (c *Core) live(now time.Duration, name string) bool {
	g := c.gates[name]
	return g != nil && g.pullAt != 0 && now-g.pullAt < limit.GateLive
}

// tidings are how pressing it is to say something else than the present table.
type tidings int

const (
	same    tidings = iota
	patient         // it may wait a moment, so that much is said at once
	pressing
)

// news is what a table made now would say that the present one does not. All that is agreed
// shows in the log's index. What takes something away from exchanges is pressing.
func (c *Core) news(now time.Duration) tidings {
	if c.table == nil || c.table.Seq != c.state.Seq || c.table.Revision != c.state.Revision || len(c.table.Gates) != len(c.state.Roster) {
		return pressing
	}
	r, fresh := same, 0
	for i := range c.table.Gates {
		if g := &c.table.Gates[i]; g.Live != c.live(now, g.Name) {
			r = patient
		}
	}
	due := now-c.demandAt >= limit.DemandEvery
	for _, t := range c.targets {
		w := c.tabled(now, t)
		if f := factsOf(&w); f != t.shown {
			if t.shown.worse(f) {
				return pressing
			}
			if r = patient; !t.shown.known {
				fresh++
			}
		} else if t.colder(now) {
			return pressing
		} else if due && math.Abs(w.Demand-t.shownDemand) >= limit.DemandStep {
			r = patient
		}
	}
	if len(c.table.Targets)+fresh != len(c.targets) {
		return pressing // one is gone
	}
	return r
}

// worse says that exchanges that were right by the facts before may be wrong by later ones.
func (f facts) worse(o facts) bool {
	return f.known && (f.addr != o.addr || f.domain != o.domain || o.held && !f.held || o.pending && !f.pending || o.cold != f.cold ||
		o.bar != "" && f.bar != o.bar || f.beating && !o.beating || f.state != o.state && o.state != model.Ready)
}

// moved is rebuild after an event of one target: if nothing was decided, only its own
// facts can have changed, and what time changes is seen at the next tick.
func (c *Core) moved(now time.Duration, t *target) {
	if c.lead != Deciding {
		return
	}
	if w := c.tabled(now, t); c.table != nil && c.decisions == c.decidedAt && factsOf(&w) == t.shown && !t.colder(now) {
		c.counts.Same++
		return
	}
	c.decidedAt = c.decisions
	c.rebuild(now, false)
}

// sorted are the targets' identities in order.
func (c *Core) sorted() []wire.ID {
	ok := len(c.ids) == len(c.targets)
	for i := 0; ok && i < len(c.ids); i++ {
		ok = c.targets[c.ids[i]] != nil
	}
	if !ok {
		c.ids = slices.SortedFunc(maps.Keys(c.targets), wire.ID.Compare)
	}
	return c.ids
}

// inForce says whether a table binds every proxy: a majority of the roster, and of
// the one before while that still counts, has confirmed it, and each other one's grant, from the leader or from
// partners that had not confirmed yet, must have lapsed.
func (c *Core) inForce(now time.Duration, f *force) bool {
	if f.member != "" && (!c.node.Settled() || f.joins != slices.ContainsFunc(c.node.Members(), func(m wire.Member) bool { return m.Name == f.member })) {
		return false
	}
	var rest []*gate
	confirmed := func(names []string) bool {
		conf := 0
		for _, n := range names {
			g := c.gates[n]
			if g != nil && g.key.Epoch == c.node.Epoch() && g.key.Term == c.node.Term() && g.key.Ver >= f.ver {
				conf++
			} else if g != nil {
				rest = append(rest, g)
			}
		}
		return 2*conf > len(names) || len(names) == 0
	}
	if slices.ContainsFunc(f.agreed, func(id wire.ID) bool { return !c.agreed(id) }) {
		return false
	}
	if now, was := confirmed(c.state.names()), confirmed(c.state.Was); !now || !was {
		f.majAt = 0
		return false
	}
	if f.most {
		return true
	}
	if f.majAt == 0 {
		f.majAt = now
	}
	for _, g := range rest {
		if now-g.grantAt <= limit.GateGrant+limit.GrantMargin || now-f.majAt <= limit.TouchGrant+limit.GrantMargin {
			return false
		}
	}
	return true
}

// settle answers for what has come into force.
func (c *Core) settle(now time.Duration) {
	var done []*force
	c.forces = slices.DeleteFunc(c.forces, func(f *force) bool {
		if c.inForce(now, f) {
			done = append(done, f)
			return true
		}
		if f.p != nil && (now-f.since > limit.AskWait || f.p.word && now-f.p.at > limit.WordWait) {
			c.unknown(f.p)
			f.p = nil
			return !f.wide
		}
		return false
	})
	for _, f := range done {
		if f.p != nil {
			c.answer(f.p, f.reply)
		}
		if f.wide && len(c.state.Was) > 0 && !slices.ContainsFunc(c.forces, func(f *force) bool { return f.wide }) {
			c.wide(now, order{Op: "enrolled", Base: c.state.RosterAt})
		}
		if t := c.targets[f.clear]; t != nil && t.Pending {
			t.Pending = false
			c.rebuild(now, false)
		}
	}
}

// roster admits and drops proxies, all that wait in one step. The roster before counts
// with it until it is in force everywhere, so that majorities always meet.
func (c *Core) roster(now time.Duration) {
	if slices.ContainsFunc(c.forces, func(f *force) bool { return f.wide }) || c.wideUntil > c.state.Seq || !c.node.Settled() {
		return
	}
	o := order{Op: "roster"}
	for _, n := range slices.Sorted(maps.Keys(c.gates)) {
		k := c.known[n]
		if k == nil || now-c.gates[n].pullAt > limit.GateLive || c.gates[n].pullAt == 0 {
			continue
		}
		i, ok := slices.BinarySearchFunc(c.state.Roster, n, func(r Gate, n string) int { return cmp.Compare(r.Name, n) })
		if r := (Gate{n, k.Addr, k.Domain}); !ok || c.state.Roster[i] != r {
			o.Gates = append(o.Gates, r)
		}
	}
	if len(o.Gates) > 0 && len(c.state.Roster) == 0 && now-c.leadAt < limit.FirstRoster {
		return
	}
	for _, r := range c.state.Roster {
		if g := c.gates[r.Name]; now-c.leadAt > limit.GateForget && (g == nil || now-g.pullAt > limit.GateForget) {
			o.Gone = append(o.Gone, r.Name)
		}
	}
	if len(o.Gates)+len(o.Gone) > 0 {
		c.wide(now, o)
	}
}

func (c *Core) wide(now time.Duration, o order) { c.wideUntil = c.propose(now, o) }

// members admits again a member that came back with another disk, and those
// that an operator asked for, once they have caught up; and it looks after the
// others, by number or, if none is given, by who is there.
func (c *Core) members(now time.Duration) {
	if !c.node.Settled() {
		return
	}
	ms := c.node.Members()
	all := c.cores(now, true)
	ghost := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Disk == 0 })
	for _, d := range all {
		if d.Name == c.set.Self.Name || d.Disk == 0 {
			continue
		}
		i := slices.IndexFunc(ms, func(m wire.Member) bool { return m.Name == d.Name })
		switch {
		case i >= 0 && ms[i].Disk != d.Disk && (d.Epoch == 0 || d.Epoch == c.node.Epoch()):
			c.do(Change{"member", d.Name, "out", "it lost its disk"})
			c.swaps[d.Name] = true
			c.node.Change(now, slices.Delete(slices.Clone(ms), i, i+1))
			return
		case i < 0 && c.set.Size > 0 && c.state.Out[d.Name] == 0 && ghost >= 0:
			c.do(Change{"member", ms[ghost].Name, "out", "its place was kept for who was not there at the founding"})
			c.swaps[d.Name] = true
			c.node.Change(now, slices.Delete(slices.Clone(ms), ghost, ghost+1))
			return
		case i < 0 && (c.swaps[d.Name] || len(ms) < c.set.Size && c.state.Out[d.Name] == 0):
			if c.admit(now, ms, d) {
				return
			}
		}
	}
	if c.set.Size == 0 {
		c.tend(now, ms, all)
	}
}

// admit has a daemon learn, and makes it a member once it has caught up.
func (c *Core) admit(now time.Duration, ms []wire.Member, d wire.Daemon) bool {
	m := wire.Member{Name: d.Name, Disk: d.Disk}
	c.node.Learn(m)
	if !c.node.CaughtUp(m) {
		return false
	}
	c.do(Change{"member", d.Name, "in", "caught up"})
	delete(c.swaps, d.Name)
	delete(c.tried, d.Name)
	c.changedAt = now
	c.node.Change(now, append(slices.Clone(ms), m))
	return true
}

// silent is how long a member has not been heard, as far as this lead can tell.
func (c *Core) silent(now time.Duration, name string) time.Duration {
	if name == c.set.Self.Name {
		return 0
	}
	return now - max(c.heard[name].at, c.leadAt)
}

// gone says that a member may be replaced: nobody's place at once, who fell silent
// soon, and who said that it stops only after a machine's restart.
func (c *Core) gone(now time.Duration, m wire.Member) bool {
	after := limit.MemberGone
	if c.heard[m.Name].stops {
		after = limit.MemberForget
	}
	return m.Disk == 0 || c.silent(now, m.Name) > after
}

// sound says that a list of members has a majority that answers now.
func (c *Core) sound(now time.Duration, ms []wire.Member) bool {
	n := 0
	for _, m := range ms {
		if c.node.Answers(now, m) {
			n++
		}
	}
	return 2*n > len(ms)
}

func (c *Core) domainOf(name string) string {
	if name == c.set.Self.Name {
		return c.set.Self.Domain
	}
	if h, ok := c.heard[name]; ok {
		return h.domain
	}
	return "? " + name
}

// worth compares sets of members by what they outlive: any one domain, then as many
// machines as can be, with no more members than that takes; but two keep more than one.
func (c *Core) worth(names []string) (w [3]int) {
	per, most := map[string]int{}, 0
	for _, n := range names {
		d := c.domainOf(n)
		per[d]++
		most = max(most, per[d])
	}
	if 2*most < len(names) {
		w[0] = 1
	}
	w[1], w[2] = (len(names)-1)/2, -len(names)
	if len(names) == 2 {
		w[2] = 0
	}
	return w
}

func namesOf(ms []wire.Member) (l []string) {
	for _, m := range ms {
		l = append(l, m.Name)
	}
	return l
}

// newcomer is who should become a member next, beside those who stay: the first of
// those who make the best core, one from the domain with the fewest at each step.
func (c *Core) newcomer(now time.Duration, stay []wire.Member, ms []wire.Member, all []wire.Daemon) (next wire.Daemon, ok bool) {
	list := namesOf(stay)
	free := slices.DeleteFunc(slices.Clone(all), func(d wire.Daemon) bool {
		since, tried := c.tried[d.Name]
		vain := tried && now-since > limit.LearnWait && now-since < limit.LearnAgain
		return d.Disk == 0 || d.State == stoppingState || c.state.Out[d.Name] != 0 || vain || slices.Contains(namesOf(ms), d.Name)
	})
	if w := c.worth(list); w[0] == 0 && len(list) > 2 { // one may come for another
		for _, d := range free {
			if i := c.spared(append(slices.Clone(list), d.Name)); i >= 0 && i < len(list) {
				return d, true
			}
		}
	}
	best, first := c.worth(list), wire.Daemon{}
	for len(list) < limit.VotersMax && len(free) > 0 {
		per := map[string]int{}
		for _, n := range list {
			per[c.domainOf(n)]++
		}
		d := slices.MinFunc(free, func(a, b wire.Daemon) int {
			return cmp.Or(cmp.Compare(per[a.Domain], per[b.Domain]), cmp.Compare(a.Name, b.Name))
		})
		free = slices.DeleteFunc(free, func(o wire.Daemon) bool { return o.Name == d.Name })
		list = append(list, d.Name)
		if first.Name == "" {
			first = d
		}
		if w := c.worth(list); slices.Compare(best[:], w[:]) < 0 {
			best, next, ok = w, first, true
		}
	}
	return next, ok
}

// spared is the place of one without whom a list would outlive any domain, -1 if it
// does with all, or without none of them.
func (c *Core) spared(list []string) int {
	if w := c.worth(list); w[0] == 1 {
		return -1
	}
	return slices.IndexFunc(list, func(n string) bool {
		w := c.worth(slices.DeleteFunc(slices.Clone(list), func(o string) bool { return o == n }))
		return n != c.set.Self.Name && w[0] == 1
	})
}

// tend grows and mends a core whose size nobody has given, by one change at a time,
// each between lists of which a majority answers. A newcomer is in before the one
// that it replaces is out. One whose return would add nothing goes then; without a
// replacement a silent one goes late, and only if a majority then takes fewer.
func (c *Core) tend(now time.Duration, ms []wire.Member, all []wire.Daemon) {
	var stay, gone []wire.Member
	late := 0
	for _, m := range ms {
		if !c.gone(now, m) {
			stay = append(stay, m)
			continue
		}
		gone = append(gone, m)
		if c.silent(now, m.Name) > limit.MemberForget {
			late++
		}
	}
	next, ok := c.newcomer(now, stay, ms, all)
	astray := map[string]bool{} // they stand in an earlier list of members, and are to learn that they are out
	for _, d := range all {
		if d.Epoch > 0 && !d.Ready && d.Name != c.set.Self.Name && !slices.Contains(namesOf(ms), d.Name) {
			astray[d.Name] = true
			c.node.Learn(wire.Member{Name: d.Name, Disk: d.Disk})
		}
	}
	c.node.Release(func(m wire.Member) bool { return ok && m.Name == next.Name || c.swaps[m.Name] || astray[m.Name] })
	if ok {
		m := wire.Member{Name: next.Name, Disk: next.Disk}
		if since, tried := c.tried[m.Name]; !tried || now-since >= limit.LearnAgain {
			c.tried[m.Name] = now
		}
		if !c.node.CaughtUp(m) || c.sound(now, append(slices.Clone(ms), m)) {
			c.admit(now, ms, next)
		}
		return
	}
	if i := c.spared(namesOf(ms)); len(gone) == 0 && i >= 0 && now-c.changedAt > limit.MemberGone {
		if left := slices.Delete(slices.Clone(ms), i, i+1); c.sound(now, ms) && c.sound(now, left) {
			c.do(Change{"member", ms[i].Name, "out", "its domain has too many"})
			c.node.Change(now, left)
			c.changedAt = now
			return
		}
	}
	for _, m := range gone {
		left := slices.DeleteFunc(slices.Clone(ms), func(o wire.Member) bool { return o == m })
		with, without := c.worth(append(namesOf(stay), m.Name)), c.worth(namesOf(stay))
		spent := slices.Compare(with[:], without[:]) <= 0
		fewer := c.silent(now, m.Name) > limit.MemberForget && (len(ms)-late)/2 < len(ms)/2
		if (spent || fewer) && c.sound(now, ms) && c.sound(now, left) {
			c.do(Change{"member", m.Name, "out", fmt.Sprintf("silent for %v", c.silent(now, m.Name).Truncate(time.Second))})
			c.node.Change(now, left)
			return
		}
	}
}
