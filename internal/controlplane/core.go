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
	Self          wire.Daemon
	BootstrapSize int      // how many members found the first core; 0: those that the seeds name
	Seeds         []string // at the fleet's first start the same for all
	Bootstrap     bool     // this is the fleet's first start
	// Domains are known though nothing may stand in them yet.
	Domains []string
	// CatchUpTime is how long after a replacement's start the core has to bear the next loss, 0: not told.
	CatchUpTime time.Duration
	// Losses is how many core machines may be lost at once, 0: not told.
	MachineLosses int
	// StopGrace is how long after Stop the process is ended by force, 0: not told.
	StopGrace time.Duration
}

type pendingCall struct {
	token         string
	callID        uint64
	receivedAt    time.Duration
	relayedFrom   string // asker's daemon, when it came over the wire
	relayedFromID uint64
	relayedTo     string // the leader that it was passed to
	relayCount    int    // how many leaders have had it
	call          *wire.Call
	relayedAt     time.Duration
	relayedTerm   uint64         // the term in which it was passed on
	duplicates    []*pendingCall // the same order asked again while it is under way: answered with it
	targetReport  bool           // a target's: made known in time or not promised, and never in doubt
}

// checkedConfig is the configuration last found sound, so that it need not be read again.
type checkedConfig struct {
	document []byte
	config   *config.Config
}

// Controller is the owner of a core daemon's state: a member or a standby of the core.
type Controller struct {
	settings              Settings
	image                 consensus.PersistentState
	node                  *consensus.Node
	state                 state.State
	directory             discovery.Directory
	startedAt             time.Duration
	lastHelloAt           time.Duration
	currentOffer          uint64
	sortedDaemonNames     []string // those in the directory, as last sorted
	visibleFounders       string   // who could found, as last looked at, and since when
	visibleFoundersSince  time.Duration
	proxyRecoveredStates  map[string]proxyRecoveredState // what proxies said that they remember
	unreadRecoveredStates map[string][]byte              // the same as they sent it, not looked at yet
	recoveryConsent       discovery.RecoveryConsent
	bootstrapLockSeq      uint64 // batch that has the lock; it is told to nobody before that is synced
	syncedSeq             uint64
	leaderHint            string                     // who leads, as last heard of
	bootstrapSize         int                        // of the first core, if this process may found it
	peerContacts          map[string]contact         // other core daemons, as last heard
	membersReviewedAt     time.Duration              // when the members were last looked after
	memberChangePending   bool                       // a change of members may be under way
	sentDirectories       map[string]sentDirectory   // what daemons were last told of those known
	learners              map[string]learnerProgress // how learners come on
	standbySince          map[string]time.Duration   // since when standbys are there
	batchOffset           uint64                     // number of the last founding batch; a node's batches count on from it
	stopping              bool
	exited                bool // it stopped, and has asked for its process's end: it takes no more calls
	stoppingSince         time.Duration

	leadership               Leadership
	leadershipSince          time.Duration
	leadershipTerm           uint64
	lostLeadership           lostLeadership  // the lead that was lost last
	leadershipLosses         []time.Duration // when the lead was lost lately
	leadershipTransferredAt  time.Duration   // when it was last given to another member for that, 0: never
	tableVersion             uint64
	table                    *wire.Table
	leadershipTerms          []uint64                         // the terms of this lead: it may have been lost and won back
	latestMergedKey          wire.TableKey                    // latest proxies' table merged while warming
	deltas                   map[deltaKey]*wire.Table         // the same as changes to earlier ones of this lead
	tableMadeAt              [tuning.TablesKept]time.Duration // when each of the last tables was made
	removedTargets           []removedTarget                  // targets that are in no table any more, and since which one
	proxiesChangedInVersion  uint64                           // the table that first said the proxies as now
	oldestDeltaBase          uint64                           // the earliest table of this lead that changes can still be told from
	sortedTargetIDs          []wire.TargetID                  // the targets' identities, as last sorted
	nextProbeTarget          wire.TargetID                    // whose turn to be probed is next, if due
	decisionCount            uint64                           // how many there were, and how many when a table was last thought about
	decisionCountAtTable     uint64
	tableRefreshedAt         time.Duration
	demandPublishedAt        time.Duration
	proxies                  map[string]*proxyState
	targets                  map[wire.TargetID]*target
	claims                   map[wire.TargetID]*target       // words of targets in whose place another stands
	tombstones               map[wire.TargetID]time.Duration // signed off or superseded: refused while it goes on speaking
	leavingTargets           map[wire.TargetID]time.Duration // held when it fell silent: held again if it comes back
	withdrawnInVersion       map[wire.TargetID]uint64        // first table without the target, or with it held, for words that say so
	domainRestoredAt         map[string]time.Duration        // when emptied domains were last restored
	lastCheckedConfig        checkedConfig
	compressedDocumentCache  struct{ plain, doc []byte } // the document as last told, and its form in tables
	detector                 *outlier.Detector
	scorer                   *outlier.Scorer
	activeRevision           uint64 // revision whose policies are in force
	activeConfig             *config.Config
	waiters                  []*inForceWaiter
	pendingChanges           map[string]*pendingCall
	relayedCalls             map[uint64]*pendingCall
	lastRelayID              uint64
	requestedMembers         map[string]bool      // members that an operator asked to add
	recoveredState           state.RecoveredState // the latest that others remember of an earlier epoch and that can be read, while adopting
	unreadableRecoveredState bool                 // something else that they remember can't be read
	emptyStateAllowed        bool                 // an operator said that the epoch may begin with nothing then
	damage                   []Damage
	undecodable              error  // why agreed data of this epoch could not be decoded, nil: it could
	diskError                string // why the disk refuses writes now, "" if it takes them
	commands                 []statemachine.Command
	counts                   Counts
	expiredAt                time.Duration
	lastShareOffset          map[string]uint32 // last place dealt in each service, and each name's own
	shareOffsetByName        map[[2]string]uint32
	proxyChangeIndex         uint64                               // entry of the roster's last change
	initialStateProposed     bool                                 // the epoch's first state, while adopting
	persistedRegistrations   map[wire.TargetID]state.Registration // what the log says of targets, with what is under way
	persistedTombstones      map[wire.TargetID]bool
	registryPersistedAt      time.Duration
	persistSoon              bool // a word waits for the next write
}

// Counts are the counters of a control daemon since its start. On /metrics each is mf_core_NAME_total, where
// NAME is the tag metric or else the field's name in snake case; in a status the key is the tag json or else the field's name.
type Counts struct {
	// Rewrites counts the tables made, Same the looks that found nothing new to publish.
	TablesMade      uint64 `json:"Rewrites" metric:"rewrites"`
	TablesUnchanged uint64 `json:"Same" metric:"same"`
	// Bars counts targets ejected, Clears ejections that a policy ended, Lapses those that ran out.
	Ejections        uint64 `json:"Bars" metric:"bars"`
	EjectionsCleared uint64 `json:"Clears" metric:"clears"`
	EjectionsLapsed  uint64 `json:"Lapses" metric:"lapses"`
	// Holds counts targets that began to drain.
	Drains uint64 `json:"Holds" metric:"holds"`
	// MissesOverruled counts missed probes that didn't count, since a proxy had a response meanwhile.
	MissesOverruled uint64 `json:"Overruled" metric:"overruled"`
	// Changes counts operators' changes that were agreed, Refused those that were not, and reports of targets rejected.
	ChangesInForce uint64 `json:"Changes" metric:"changes"`
	Rejected       uint64 `json:"Refused" metric:"refused"`
	// Elections counts the terms that this member led, and Probes and Misses its health checks and the failed ones.
	Elections   uint64
	Probes      uint64
	ProbeMisses uint64 `json:"Misses" metric:"misses"`
	// LeasesLost counts the leaderships that ended: the lease lapsed, the term passed, or leadership was transferred.
	LeasesLost uint64
	// MemberChanges counts the changes of the member list that were committed, as this member applied them.
	MemberChanges uint64
	// SnapshotsSent counts the snapshots sent to members that the log no longer reaches.
	SnapshotsSent uint64
	// RepeatsAnswered counts the changes that had been accepted before and were acknowledged again.
	RepeatsAnswered uint64
	// RejectedVersion counts the changes rejected as built on another revision, RefusedInvalid those invalid in themselves.
	RejectedVersion uint64 `json:"RefusedVersion" metric:"refused_version"`
	RejectedInvalid uint64 `json:"RefusedInvalid" metric:"refused_invalid"`
	// AnsweredUnavailable counts calls answered 503: no leader, or not now.
	AnsweredUnavailable uint64 `json:"CannotTell" metric:"cannot_tell"`
	// AnsweredUnknown counts calls of which it can't be known whether they took effect.
	AnsweredUnknown uint64
	// DamageReports counts stored or offered data that could not be decoded.
	DamageReports uint64 `json:"Damaged" metric:"damaged"`
	// LeavingsUnacknowledged counts targets' leavings and sign-offs that were not acknowledged in time.
	LeavingsUnacknowledged uint64
}

// New starts a member from what its disk holds; a disk without a number yet is
// given the shell's.
func New(now time.Duration, set Settings, img consensus.PersistentState) *Controller {
	c := &Controller{settings: set, image: img, startedAt: now, directory: discovery.Directory{}, proxyRecoveredStates: map[string]proxyRecoveredState{}, unreadRecoveredStates: map[string][]byte{}, proxies: map[string]*proxyState{},
		pendingChanges: map[string]*pendingCall{}, relayedCalls: map[uint64]*pendingCall{}, requestedMembers: map[string]bool{}, peerContacts: map[string]contact{}, sentDirectories: map[string]sentDirectory{}, learners: map[string]learnerProgress{}, domainRestoredAt: map[string]time.Duration{}, state: state.New(), lastRelayID: set.Self.Incarnation << 20}
	c.settings.Self.Disk = img.Disk
	switch {
	case set.BootstrapSize > 0:
		c.bootstrapSize = set.BootstrapSize
	case set.Bootstrap && slices.Contains(set.Seeds, set.Self.Addr):
		c.bootstrapSize = len(slices.Compact(slices.Sorted(slices.Values(set.Seeds))))
	case img.BootstrapLock != 0: // it was restarted while it founded
		c.bootstrapSize = len(img.Founders)
	}
	if img.Epoch != 0 {
		c.startNode(now)
	}
	return c
}

func (c *Controller) startNode(now time.Duration) {
	c.node = consensus.New(now, c.settings.Self.Name, c.image)
	c.undecodable = nil
	c.restoreSnapshot(&c.image.Snapshot)
}

func (c *Controller) restoreSnapshot(s *wire.Snapshot) {
	state, err := state.Decode(s.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("snapshot %d", s.Index), err)
		return
	}
	c.state = state
}

// Step is the owner: one event in, commands out.
func (c *Controller) Step(now time.Duration, ev statemachine.Event) []statemachine.Command {
	c.updateLeadership(now) // time may have passed since the last step, and with it the lease
	switch e := ev.(type) {
	case statemachine.Receive:
		c.recv(now, e.Message)
	case statemachine.Tick:
		c.tick(now)
	case statemachine.Synced:
		c.handleSynced(now, e.Seq)
	case statemachine.DiskHealth:
		c.recordDiskHealth(e.Err)
	case statemachine.ProbeResult:
		c.handleProbeResult(now, e)
	case statemachine.Call:
		c.handleCall(now, e)
	case statemachine.Stop:
		c.stop(now)
	}
	c.applyNodeOutput(now)
	c.updateLeadership(now)
	if c.leadership == Leading {
		c.answerWaiters(now)
		c.applyNodeOutput(now)
	}
	o := c.commands
	c.commands = nil
	return o
}

// drain carries out what the node left to do.
func (c *Controller) applyNodeOutput(now time.Duration) {
	for c.node != nil {
		o := c.node.Ready()
		for _, r := range o.Rejected {
			c.emit(statemachine.StateChange{Subject: statemachine.SubjectMessage, From: r.From, To: "refused", Reason: r.Err.Error()})
		}
		if len(o.Batches)+len(o.Messages)+len(o.CommittedEntries) == 0 && o.Snapshot == nil {
			return
		}
		c.countOutput(&o)
		for _, b := range o.Batches {
			b.Seq += c.batchOffset
			c.image.ApplyBatch(b)
			c.emit(statemachine.Sync{Batch: b})
		}
		for _, m := range o.Messages {
			c.send(m.To, m)
		}
		if o.Snapshot != nil {
			c.restoreSnapshot(o.Snapshot)
		}
		for _, e := range o.CommittedEntries {
			c.apply(now, e)
		}
		if c.undecodable == nil && c.node.SnapshotDue() {
			c.node.Compact(now, state.Encode(&c.state))
		}
	}
}

func (c *Controller) handleSynced(now time.Duration, seq uint64) {
	c.syncedSeq = max(c.syncedSeq, seq)
	if c.node != nil && seq > c.batchOffset {
		c.node.Advance(now, seq-c.batchOffset)
	}
}

// whole syncs an image that replaces all before it.
func (c *Controller) syncImage() {
	if c.node != nil {
		panic("founding over a running node")
	}
	c.batchOffset++
	b := c.image.Checkpoint()
	b.Seq = c.batchOffset
	c.emit(statemachine.Sync{Batch: b})
}

func (c *Controller) tick(now time.Duration) {
	every := tuning.HelloEvery
	if now-c.startedAt < tuning.HelloStartup && c.activeLeader(now) == "" {
		every = tuning.PreVoteInterval // members that start together know no one's address yet
	}
	if now-c.lastHelloAt >= every {
		c.lastHelloAt = now
		c.sendHellos(now)
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
		if p := c.pendingChanges[t]; now-p.receivedAt > tuning.CallWait {
			delete(c.pendingChanges, t)
			c.answerUnknown(p)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		p := c.relayedCalls[id]
		switch l := c.relayTo(now); {
		case now-p.receivedAt > tuning.CallWait+tuning.LeaderLease, p.targetReport && now-p.receivedAt > tuning.TargetReportWait:
			delete(c.relayedCalls, id)
			c.answerUnknown(p)
		case c.leadership == Leading:
			delete(c.relayedCalls, id)
			p.relayCount++
			c.executeCall(now, p, p.call)
		case l != "" && l != c.settings.Self.Name && (l != p.relayedTo || c.Term() != p.relayedTerm || p.targetReport && now-p.relayedAt > tuning.TargetReportRetry):
			c.relay(now, id, p, l) // under its id a change is made once, whoever hears it how often
		}
	}
	c.tickWaiters(now)
	if c.stopping {
		c.tickShutdown(now)
	}
	c.maintainMembers(now)
	if c.leadership >= Gathering {
		c.tickLeader(now)
	}
}
