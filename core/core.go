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
	"encoding/json"
	"fmt"
	"maps"
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
