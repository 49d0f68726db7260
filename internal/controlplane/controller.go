// Package controlplane is the state machine of a control daemon, which is a member of the control plane or
// a standby: discovery, bootstrap and recovery, membership, the registry of targets and their health checks,
// outlier ejection, leases to proxies, and operators' changes. It is one pure function, Controller.Step: an event
// in, commands out. It has no clock, no I/O, no locks and no goroutines: the caller carries out the commands and
// owns the Controller. Consensus on the log is in the subpackage consensus, the write-ahead log on disk in wal.
//
// The leader keeps everything that isn't in the log in memory: targets, ejections, drains, health checks, and which
// proxy has which lease. A member that leads again soon, with no other leader in between, goes on with it. Any other
// begins with the registrations in the log, and recovers drains and ejections from proxies' tables and heartbeats.
//
// Begin reading with Controller.Step here, then leadership.go (becoming leader), table.go and proxylease.go (what
// the leader sends to proxies), and api.go (calls).
package controlplane

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Controller is the state of a control daemon. Only the goroutine that calls Step may use it.
type Controller struct {
	settings  Settings
	startedAt time.Duration
	commands  []statemachine.Command // of the step under way
	counts    Counts

	// Consensus and the state that it agrees on.

	persistentState consensus.PersistentState // what is on disk once all batches are synced
	node            *consensus.Node           // nil before this daemon takes part in an epoch
	state           state.State               // as far as the log is applied
	batchOffset     uint64                    // number of the last batch that replaced the image; the node's batches count on from it
	syncedSeq       uint64                    // the last batch known to be on disk

	// Discovery of other daemons.

	directory         discovery.Directory
	lastHelloAt       time.Duration
	sortedDaemonNames []string                 // names in the directory, as last sorted
	sentDirectories   map[string]sentDirectory // the directory that each daemon was last sent
	peerContacts      map[string]contact       // last contact with other control daemons, kept after they expire from the directory
	leaderHint        string                   // the leader as last learnt, "" if none

	// Bootstrap, and recovery after the loss of a majority.

	bootstrapSize         int    // members of the first control plane, 0 if this process may not bootstrap it
	currentOffer          uint64 // the bootstrap offered to others now, 0: none
	bootstrapLockSeq      uint64 // the batch with the lock; announced to others only once that is synced
	visibleFounders       string // who could bootstrap when last looked, and since when these
	visibleFoundersSince  time.Duration
	recoveryConsent       discovery.RecoveryConsent
	proxyRecoveredStates  map[string]proxyRecoveredState // by proxy, what it remembers of an earlier epoch
	unreadRecoveredStates map[string][]byte              // the same as received, not decoded yet

	// The first state of an epoch, while this member is Recovering.

	recoveredState           state.RecoveredState // the latest of an earlier epoch that could be decoded
	unreadableRecoveredState bool                 // another one could not be decoded
	emptyStateAllowed        bool                 // an operator said that the epoch may begin empty nevertheless
	initialStateProposed     bool

	// Membership of the control plane.

	membersReviewedAt   time.Duration
	memberChangePending bool
	requestedMembers    map[string]bool            // members that an operator asked to add
	learners            map[string]learnerProgress // progress of learners
	standbySince        map[string]time.Duration   // when each standby was first there

	// Shutdown.

	stopping      bool
	stoppingSince time.Duration
	exited        bool // Exit has been emitted: no more calls are taken

	// Faults of this member.

	damage      []Damage // the latest that could not be decoded, for the status
	undecodable error    // why agreed data of this epoch could not be decoded; nil: it could
	diskError   string   // why the disk rejects writes now; "" if it takes them

	// Leadership. See leadership.go and resume.go.

	leadership              Leadership
	leadershipSince         time.Duration // when leadership last changed
	leadershipTerm          uint64
	leadershipTerms         []uint64        // terms of this leadership, which may have been lost and resumed
	lostLeadership          lostLeadership  // the one lost last
	leadershipLosses        []time.Duration // when leadership was lost lately
	leadershipTransferredAt time.Duration   // when it was last transferred because of such losses, 0: never

	// The leader's configuration.

	lastCheckedConfig checkedConfig
	activeConfig      *config.Config
	activeRevision    uint64 // of activeConfig, 0 if none has been applied

	// The leader's targets. Maps of these are made anew by resetLeadershipState.

	targets            map[wire.TargetID]*target
	sortedTargetIDs    []wire.TargetID                 // keys of targets, as last sorted
	claims             map[wire.TargetID]*target       // targets whose name or address another target has
	tombstones         map[wire.TargetID]time.Duration // signed off or superseded, and when it last sent a report: those are rejected
	leavingTargets     map[wire.TargetID]time.Duration // was draining when its contact was lost: drains again if it comes back
	withdrawnInVersion map[wire.TargetID]uint64        // first table in which the target is draining or absent, for reports that say so again
	domainRestoredAt   map[string]time.Duration        // when emptied domains were last restored
	lastShareOffset    map[string]uint32               // by service, the last share offset given
	shareOffsetByName  map[serviceTarget]uint32        // the offset of each name, which a restart keeps
	nextProbeTarget    wire.TargetID                   // where the next tick goes on with the health checks
	lastCleanupAt      time.Duration                   // when expired entries of these maps were last removed

	// The part of the targets that is in the log, including writes in flight. See targetregistry.go.

	persistedRegistrations map[wire.TargetID]state.Registration
	persistedTombstones    map[wire.TargetID]bool // true: signed off, false: leaving
	registryPersistedAt    time.Duration
	persistSoon            bool // a target waits for the next write

	// Outlier detection.

	detector             *outlier.Detector
	scorer               *outlier.Scorer
	decisionCount        uint64 // decisions so far
	decisionCountAtTable uint64 // and at the last look whether a table is due

	// Tables. See table.go and tabledelta.go.

	table                   *wire.Table // the latest of this leadership, nil: none
	tableVersion            uint64
	tableMadeAt             [tuning.TablesKept]time.Duration // by version modulo the length
	tableRefreshedAt        time.Duration                    // when one was last made without a change
	demandPublishedAt       time.Duration
	compressedDocument      compressedDocument
	deltas                  map[deltaKey]*wire.Table // forms of the latest table that proxies were sent
	removedTargets          []removedTarget          // the latest targets removed from tables
	proxiesChangedInVersion uint64                   // the table that first had the present list of proxies
	oldestDeltaBase         uint64                   // the earliest table that a delta can be made from
	latestMergedKey         wire.TableKey            // the latest proxy's table merged while Gathering

	// Proxies.

	proxies          map[string]*proxyState
	proxyChangeIndex uint64 // log entry of the last change of the proxy membership that was proposed

	// Calls.

	pendingChanges map[string]*pendingCall // by token, changes that are proposed and not committed
	relayedCalls   map[uint64]*pendingCall // by relay ID, calls that are sent to the leader
	lastRelayID    uint64
	waiters        []*inForceWaiter // what waits until a table is in force
}

// New starts a control daemon from what its disk holds. A disk without a number yet is given the caller's.
func New(now time.Duration, settings Settings, image consensus.PersistentState) *Controller {
	c := &Controller{
		settings:              settings,
		startedAt:             now,
		persistentState:       image,
		state:                 state.New(),
		directory:             discovery.Directory{},
		sentDirectories:       map[string]sentDirectory{},
		peerContacts:          map[string]contact{},
		bootstrapSize:         bootstrapSize(settings, image),
		proxyRecoveredStates:  map[string]proxyRecoveredState{},
		unreadRecoveredStates: map[string][]byte{},
		requestedMembers:      map[string]bool{},
		learners:              map[string]learnerProgress{},
		domainRestoredAt:      map[string]time.Duration{},
		proxies:               map[string]*proxyState{},
		pendingChanges:        map[string]*pendingCall{},
		relayedCalls:          map[uint64]*pendingCall{},
		lastRelayID:           settings.Self.Incarnation << relayIDBits,
	}
	c.settings.Self.Disk = image.Disk
	if image.Epoch != 0 {
		c.startNode(now)
	}
	return c
}

// relayIDBits is how many relay IDs, as a power of two, one process may use before those of its next incarnation begin.
const relayIDBits = 20

// bootstrapSize returns how many members bootstrap the first control plane, 0 if this process may not.
func bootstrapSize(settings Settings, image consensus.PersistentState) int {
	switch {
	case settings.BootstrapSize > 0:
		return settings.BootstrapSize
	case settings.Bootstrap && slices.Contains(settings.Seeds, settings.Self.Addr):
		return len(slices.Compact(slices.Sorted(slices.Values(settings.Seeds))))
	case image.BootstrapLock != 0: // restarted during its bootstrap
		return len(image.Founders)
	}
	return 0
}

// startNode begins to take part in the epoch of the image.
func (c *Controller) startNode(now time.Duration) {
	c.node = consensus.New(now, c.settings.Self.Name, c.persistentState)
	c.undecodable = nil
	c.restoreSnapshot(&c.persistentState.Snapshot)
}

func (c *Controller) restoreSnapshot(snapshot *wire.Snapshot) {
	restored, err := state.Decode(snapshot.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("snapshot %d", snapshot.Index), err)
		return
	}
	c.state = restored
}

// Step applies one event at the time now, which must not decrease, and returns the commands to carry out in order.
// A call is answered by a statemachine.Reply among the commands of this step or of a later one.
func (c *Controller) Step(now time.Duration, event statemachine.Event) []statemachine.Command {
	// The lease may have run out since the last step. Nothing may be decided on it then, whatever the event.
	c.updateLeadership(now)
	switch e := event.(type) {
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
	commands := c.commands
	c.commands = nil
	return commands
}

// applyNodeOutput carries out what the consensus node asks for, until it asks for nothing more: to apply an entry may
// make it propose another. Batches go before messages: a message may promise what only a synced batch makes true, and
// the node releases such a message only after Synced.
func (c *Controller) applyNodeOutput(now time.Duration) {
	for c.node != nil {
		output := c.node.Ready()
		for _, r := range output.Rejected {
			c.emit(statemachine.StateChange{Subject: statemachine.SubjectMessage, From: r.From, To: "refused", Reason: r.Err.Error()})
		}
		if len(output.Batches)+len(output.Messages)+len(output.CommittedEntries) == 0 && output.Snapshot == nil {
			return
		}
		c.countOutput(&output)
		for _, batch := range output.Batches {
			batch.Seq += c.batchOffset
			c.persistentState.ApplyBatch(batch)
			c.emit(statemachine.Sync{Batch: batch})
		}
		for _, m := range output.Messages {
			c.send(m.To, m)
		}
		if output.Snapshot != nil {
			c.restoreSnapshot(output.Snapshot)
		}
		for _, entry := range output.CommittedEntries {
			c.apply(now, entry)
		}
		// A state with an entry missing must not become a snapshot: it would replace the log that has the entry.
		if c.undecodable == nil && c.node.SnapshotDue() {
			c.node.Compact(now, state.Encode(&c.state))
		}
	}
}

// handleSynced notes that all batches up to seq are on disk. Those before batchOffset were an earlier node's.
func (c *Controller) handleSynced(now time.Duration, seq uint64) {
	c.syncedSeq = max(c.syncedSeq, seq)
	if c.node != nil && seq > c.batchOffset {
		c.node.Advance(now, seq-c.batchOffset)
	}
}

// syncImage writes an image that replaces all that was written before. There must be no node, whose batches would
// count on from another image.
func (c *Controller) syncImage() {
	if c.node != nil {
		panic("an image is replaced under a running node")
	}
	c.batchOffset++
	batch := c.persistentState.Checkpoint()
	batch.Seq = c.batchOffset
	c.emit(statemachine.Sync{Batch: batch})
}

// tick does what recurs. Each part looks at the time by itself.
func (c *Controller) tick(now time.Duration) {
	c.tickDiscovery(now)
	c.tickNode(now)
	c.expirePendingChanges(now)
	c.tickRelayedCalls(now)
	c.tickWaiters(now)
	if c.stopping {
		c.tickShutdown(now)
	}
	c.maintainMembers(now)
	if c.leadership >= Gathering {
		c.tickLeader(now)
	}
}

// tickDiscovery introduces this daemon to the others, and bootstraps if that is due.
func (c *Controller) tickDiscovery(now time.Duration) {
	every := tuning.HelloEvery
	if now-c.startedAt < tuning.HelloStartup && c.activeLeader(now) == "" {
		every = tuning.PreVoteInterval // members that start together have no addresses of one another yet
	}
	if now-c.lastHelloAt < every {
		return
	}
	c.lastHelloAt = now
	c.sendHellos(now)
	c.recordBootstrapIntent()
	for name, peer := range c.directory {
		if now-peer.LastContact > tuning.DaemonExpiry {
			delete(c.directory, name)
		}
	}
	c.bootstrap(now)
	c.leaderHint = c.leader(now)
}

func (c *Controller) tickNode(now time.Duration) {
	switch {
	case c.node == nil:
	case c.superseded(): // its lock on a later epoch binds it to take no part in this one
	case c.undecodable != nil:
		c.resign(now)
	default:
		c.node.Tick(now)
	}
}

// tickLeader does what recurs while this member is Gathering or Leading.
func (c *Controller) tickLeader(now time.Duration) {
	c.probeTargets(now)
	c.judgeTargets(now)
	c.expireClaims(now)
	c.cleanUpTargets(now)
	c.publishDecisions(c.scorer.Tick(now))
	if c.leadership != Leading {
		return
	}
	c.rebuildTable(now, now-c.tableRefreshedAt >= tuning.ReconcileEvery)
	c.updateProxyMembership(now)
	c.persistRegistrations(now, tuning.RegistryEvery)
}
