// Package controlplane is the owner of a control daemon: membership, agreement, the
// registry of targets, the watchdog, the judge, leases to proxies and operators'
// changes, as one pure Step(now, event) -> commands. The shell does the I/O and
// the simulator runs this same code.
//
// While a member leads, everything that is not durable (targets, ejections, holds,
// probes, who holds which lease) lives in its lead. A member that leads again soon, with nobody
// in between, goes on with it; any other makes it anew, and holds and ejections come back from
// the proxies' tables and the beats.
package controlplane

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Settings are what a core daemon is told at its start.
type Settings struct {
	Self  wire.Daemon
	Size  int      // how many members found the first core; 0: those that the seeds name
	Seeds []string // at the fleet's first start the same for all
	Found bool     // this is the fleet's first start
	// Domains are known though nothing may stand in them yet.
	Domains []string
	// CatchUp is how long after a replacement's start the core has to bear the next loss, 0: not told.
	CatchUp time.Duration
	// Losses is how many core machines may be lost at once, 0: not told.
	Losses int
	// Grace is how long after Stop the process is ended by force, 0: not told.
	Grace time.Duration
}

type pending struct {
	token        string
	ask          uint64
	at           time.Duration
	relay        string // asker's daemon, when it came over the wire
	relayID      uint64
	relayedTo    string // the leader that it was passed to
	relayCount   int    // how many leaders have had it
	call         *wire.Call
	relayedAt    time.Duration
	relayedTerm  uint64     // the term in which it was passed on
	repetitions  []*pending // the same order asked again while it is under way: answered with it
	targetReport bool       // a target's: made known in time or not promised, and never in doubt
}

// checked is the configuration last found sound, so that it need not be read again.
type checked struct {
	doc []byte
	cfg *config.Config
}

// Controller is the owner of a core daemon's state: a member or a standby of the core.
type Controller struct {
	settings        Settings
	image           consensus.Image
	node            *consensus.Node
	state           state.State
	directory       discovery.Directory
	bootAt          time.Duration
	helloAt         time.Duration
	offer           uint64
	daemonNames     []string // those in the directory, as last sorted
	seenFounders    string   // who could found, as last looked at, and since when
	seenFoundersAt  time.Duration
	proxyMemories   map[string]proxyMemory // what proxies said that they remember
	unreadMemories  map[string][]byte      // the same as they sent it, not looked at yet
	consent         discovery.RecoveryConsent
	lockSeq         uint64 // batch that has the lock; it is told to nobody before that is synced
	syncedSeq       uint64
	leaderHint      string                   // who leads, as last heard of
	bootstrapSize   int                      // of the first core, if this process may found it
	heard           map[string]heard         // other core daemons, as last heard
	membersAt       time.Duration            // when the members were last looked after
	membersChanging bool                     // a change of members may be under way
	toldLists       map[string]toldList      // what daemons were last told of those known
	learning        map[string]learning      // how learners come on
	standbySince    map[string]time.Duration // since when standbys are there
	batchOffset     uint64                   // number of the last founding batch; a node's batches count on from it
	stopping        bool
	ended           bool // it stopped, and has asked for its process's end: it takes no more calls
	stopAt          time.Duration

	lead                   Leadership
	leadAt                 time.Duration
	leadTerm               uint64
	kept                   keptLead        // the lead that was lost last
	leadsLostAt            []time.Duration // when the lead was lost lately
	handedOverAt           time.Duration   // when it was last given to another member for that, 0: never
	tableVersion           uint64
	table                  *wire.Table
	leadTerms              []uint64                         // the terms of this lead: it may have been lost and won back
	latestMergedKey        wire.TableKey                    // latest proxies' table merged while warming
	changes                map[change]*wire.Table           // the same as changes to earlier ones of this lead
	madeAt                 [tuning.TablesKept]time.Duration // when each of the last tables was made
	withdrawnTargets       []withdrawnTarget                // targets that are in no table any more, and since which one
	rosterTableVersion     uint64                           // the table that first said the proxies as now
	oldestDeltaBase        uint64                           // the earliest table of this lead that changes can still be told from
	sortedIDs              []wire.TargetID                  // the targets' identities, as last sorted
	nextProbe              wire.TargetID                    // whose turn to be probed is next, if due
	decisions              uint64                           // how many there were, and how many when a table was last thought about
	decidedAt              uint64
	rebuilt                time.Duration
	demandAt               time.Duration
	proxies                map[string]*proxyState
	targets                map[wire.TargetID]*target
	claims                 map[wire.TargetID]*target       // words of targets in whose place another stands
	tombstones             map[wire.TargetID]time.Duration // signed off or superseded: refused while it goes on speaking
	leaving                map[wire.TargetID]time.Duration // held when it fell silent: held again if it comes back
	withdrawnAt            map[wire.TargetID]uint64        // first table without the target, or with it held, for words that say so
	restored               map[string]time.Duration        // when emptied domains were last restored
	checked                checked
	compressed             struct{ plain, doc []byte } // the document as last told, and its form in tables
	judge                  *outlier.Detector
	scorer                 *outlier.Scorer
	policyRevision         uint64 // revision whose policies are in force
	cfg                    *config.Config
	waiters                []*commitWaiter
	pendingChanges         map[string]*pending
	relayedCalls           map[uint64]*pending
	relayID                uint64
	requestedMembers       map[string]bool      // members that an operator asked to add
	recovered              state.RecoveredState // the latest that others remember of an earlier epoch and that can be read, while adopting
	unreadableMemory       bool                 // something else that they remember can't be read
	adoptEmpty             bool                 // an operator said that the epoch may begin with nothing then
	damage                 []Damage
	undecodable            error  // why agreed data of this epoch could not be decoded, nil: it could
	diskError              string // why the disk refuses writes now, "" if it takes them
	out                    []statemachine.Command
	counts                 Counts
	cleanAt                time.Duration
	lastTurn               map[string]uint32 // last place dealt in each service, and each name's own
	turnByName             map[[2]string]uint32
	rosterPendingAt        uint64                               // entry of the roster's last change
	proposed               bool                                 // the epoch's first state, while adopting
	persistedRegistrations map[wire.TargetID]state.Registration // what the log says of targets, with what is under way
	persistedTombstones    map[wire.TargetID]bool
	persistedAt            time.Duration
	persistNow             bool // a word waits for the next write
}

// Counts are the owner's counters.
type Counts struct {
	Rewrites, Same, Bars, Clears, Lapses, Holds, Overruled, Changes, Refused, Elections, Probes, Misses uint64
	LeasesLost                                                                                          uint64 // leads that ended: the lease lapsed, the term passed, or leadership was handed over
	MemberChanges                                                                                       uint64 // changes of the member list that were agreed, as this member applied them
	SnapshotsSent                                                                                       uint64 // whole states sent to members that the log no longer reaches
	RepeatsAnswered                                                                                     uint64 // orders that had been taken before and were acknowledged again
	RefusedVersion                                                                                      uint64 // changes refused as built on another version
	RefusedInvalid                                                                                      uint64 // changes refused as invalid in themselves
	CannotTell                                                                                          uint64 // calls that could not be judged: no leader, or not now
	AnsweredUnknown                                                                                     uint64 // calls of which it could not be told whether they took effect
	Damaged                                                                                             uint64 // things held or offered that could not be read
	LeavingsUnacknowledged                                                                              uint64 // targets' leavings and sign-offs that were not made known in time
}

// New starts a member from what its disk holds; a disk without a number yet is
// given the shell's.
func New(now time.Duration, set Settings, img consensus.Image) *Controller {
	c := &Controller{settings: set, image: img, bootAt: now, directory: discovery.Directory{}, proxyMemories: map[string]proxyMemory{}, unreadMemories: map[string][]byte{}, proxies: map[string]*proxyState{},
		pendingChanges: map[string]*pending{}, relayedCalls: map[uint64]*pending{}, requestedMembers: map[string]bool{}, heard: map[string]heard{}, toldLists: map[string]toldList{}, learning: map[string]learning{}, restored: map[string]time.Duration{}, state: state.New(), relayID: set.Self.Incarnation << 20}
	c.settings.Self.Disk = img.Disk
	switch {
	case set.Size > 0:
		c.bootstrapSize = set.Size
	case set.Found && slices.Contains(set.Seeds, set.Self.Addr):
		c.bootstrapSize = len(slices.Compact(slices.Sorted(slices.Values(set.Seeds))))
	case img.BootstrapLock != 0: // it was restarted while it founded
		c.bootstrapSize = len(img.Founders)
	}
	if img.Epoch != 0 {
		c.start(now)
	}
	return c
}

func (c *Controller) start(now time.Duration) {
	c.node = consensus.New(now, c.settings.Self.Name, c.image)
	c.undecodable = nil
	c.restore(&c.image.Snapshot)
}

func (c *Controller) restore(s *wire.Snapshot) {
	state, err := state.Decode(s.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("snapshot %d", s.Index), err)
		return
	}
	c.state = state
}

// Step is the owner: one event in, commands out.
func (c *Controller) Step(now time.Duration, ev statemachine.Event) []statemachine.Command {
	c.leadership(now) // time may have passed since the last step, and with it the lease
	switch e := ev.(type) {
	case statemachine.Receive:
		c.recv(now, e.Message)
	case statemachine.Tick:
		c.tick(now)
	case statemachine.Synced:
		c.synced(now, e.Seq)
	case statemachine.DiskHealth:
		c.diskRefuses(e.Err)
	case statemachine.ProbeResult:
		c.probed(now, e)
	case statemachine.Call:
		c.handleCall(now, e)
	case statemachine.Stop:
		c.stop(now)
	}
	c.applyNodeOutput(now)
	c.leadership(now)
	if c.lead == Leading {
		c.answerWaiters(now)
		c.applyNodeOutput(now)
	}
	o := c.out
	c.out = nil
	return o
}

// drain carries out what the node left to do.
func (c *Controller) applyNodeOutput(now time.Duration) {
	for c.node != nil {
		o := c.node.Take()
		for _, r := range o.Refused {
			c.emit(statemachine.StateChange{Subject: statemachine.SubjectMessage, From: r.From, To: "refused", Reason: r.Err.Error()})
		}
		if len(o.Batches)+len(o.Send)+len(o.Apply) == 0 && o.Restore == nil {
			return
		}
		c.countOutput(&o)
		for _, b := range o.Batches {
			b.Seq += c.batchOffset
			c.image.Fold(b)
			c.emit(statemachine.Sync{Batch: b})
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
		if c.undecodable == nil && c.node.SnapshotDue() {
			c.node.Compact(now, state.Encode(&c.state))
		}
	}
}

func (c *Controller) synced(now time.Duration, seq uint64) {
	c.syncedSeq = max(c.syncedSeq, seq)
	if c.node != nil && seq > c.batchOffset {
		c.node.Synced(now, seq-c.batchOffset)
	}
}

// whole syncs an image that replaces all before it.
func (c *Controller) syncImage() {
	if c.node != nil {
		panic("founding over a running node")
	}
	c.batchOffset++
	b := c.image.Whole()
	b.Seq = c.batchOffset
	c.emit(statemachine.Sync{Batch: b})
}

func (c *Controller) tick(now time.Duration) {
	every := tuning.HelloEvery
	if now-c.bootAt < tuning.HelloStartup && c.heardLeader(now) == "" {
		every = tuning.PreVoteInterval // members that start together know no one's address yet
	}
	if now-c.helloAt >= every {
		c.helloAt = now
		c.hello(now)
		c.recordBootstrapIntent()
		for n, k := range c.directory {
			if now-k.LastContact > tuning.DaemonExpiry {
				delete(c.directory, n)
			}
		}
		c.bootstrap(now)
		c.leaderHint = c.leader(now)
	}
	switch {
	case c.node == nil || c.superseded():
	case c.undecodable != nil:
		c.resign(now)
	default:
		c.node.Tick(now)
	}
	for _, t := range slices.Sorted(maps.Keys(c.pendingChanges)) {
		if p := c.pendingChanges[t]; now-p.at > tuning.CallWait {
			delete(c.pendingChanges, t)
			c.answerUnknown(p)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		p := c.relayedCalls[id]
		switch l := c.relayTo(now); {
		case now-p.at > tuning.CallWait+tuning.LeaderLease, p.targetReport && now-p.at > tuning.TargetReportWait:
			delete(c.relayedCalls, id)
			c.answerUnknown(p)
		case c.lead == Leading:
			delete(c.relayedCalls, id)
			p.relayCount++
			c.operate(now, p, p.call)
		case l != "" && l != c.settings.Self.Name && (l != p.relayedTo || c.Term() != p.relayedTerm || p.targetReport && now-p.relayedAt > tuning.TargetReportRetry):
			c.relay(now, id, p, l) // under its id a change is made once, whoever hears it how often
		}
	}
	c.tickWaiters(now)
	if c.stopping {
		c.tickStop(now)
	}
	c.maintainMembers(now)
	if c.lead >= Gathering {
		c.watch(now)
	}
}
