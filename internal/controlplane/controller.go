// Package controlplane implements the state machine of a control daemon, which is a member of the control plane or a
// standby. It covers discovery, bootstrap and recovery, membership, the registry of targets and their health checks,
// outlier ejection, leases for proxies, and operators' changes.
//
// All of it is driven by Controller.Step, which takes an event and returns commands. The package has no clock, I/O,
// locks or goroutines: the caller owns the Controller, passes the time and carries out the commands. Consensus on the
// log is in the subpackage consensus, the write-ahead log on disk in wal.
//
// The leader keeps everything that is not in the log in memory: targets, ejections, drains, health checks and the leases
// of proxies. A member that becomes leader again soon, with no other leader in between, continues with that state. Any
// other new leader starts from the registrations in the log and recovers drains and ejections from proxies' tables and
// heartbeats.
//
// Start reading with Controller.Step in this file, then leadership.go (becoming leader), table.go and proxylease.go
// (what the leader sends to proxies), and api.go (calls).
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

// Controller holds the state of a control daemon. It may be used only by the goroutine that calls Step.
type Controller struct {
	settings  Settings
	startedAt time.Duration
	commands  []statemachine.Command // emitted so far by the current step
	counts    Counts

	// Consensus and the replicated state.

	persistentState consensus.PersistentState // the contents of the disk once all emitted batches are synced
	node            *consensus.Node           // nil while this daemon takes part in no epoch
	state           state.State               // replicated state, up to the last applied entry
	batchOffset     uint64                    // number of the last batch that replaced the whole persistent state, added to the node's batch numbers
	syncedSeq       uint64                    // number of the last batch known to be on disk

	// Discovery of other daemons.

	directory         discovery.Directory
	lastHelloAt       time.Duration // when hellos were last sent
	sortedDaemonNames []string      // cached by orderedDaemonNames
	// sentDirectories holds, by daemon, the directory that it was last sent. The key "" is a daemon known only by its address.
	sentDirectories map[string]sentDirectory
	peerContacts    map[string]contact // last contact with control daemons, kept after they expire from the directory
	leaderHint      string             // the leader as of the last discovery tick, "" if none is known

	// Bootstrap, and recovery after the loss of a majority.

	bootstrapSize         int                            // members of the first control plane, 0: this process may not bootstrap it
	currentOffer          uint64                         // digest of the bootstrap that is offered to other founders, 0: none
	bootstrapLockSeq      uint64                         // number of the batch with the lock; announced only once that is synced
	visibleFounders       string                         // names and disks of the visible founders, "": none or a leader exists
	visibleFoundersSince  time.Duration                  // since when visibleFounders has been the same
	recoveryConsent       discovery.RecoveryConsent      // given by an operator to this daemon
	proxyRecoveredStates  map[string]proxyRecoveredState // by proxy, its decoded state of an earlier epoch
	unreadRecoveredStates map[string][]byte              // by proxy, the encoded state that it sent last, if that is not decoded yet

	// The initial state of an epoch, while this member is Recovering.

	recoveredState           state.RecoveredState // the latest decodable state of an earlier epoch
	unreadableRecoveredState bool                 // some state of an earlier epoch could not be decoded
	emptyStateAllowed        bool                 // an operator allowed the epoch to begin empty nevertheless
	initialStateProposed     bool                 // by this member in this leadership

	// Membership of the control plane.

	membersReviewedAt   time.Duration              // when maintainMembers last checked the membership
	memberChangePending bool                       // a proposed change may not be committed yet
	requestedMembers    map[string]bool            // control daemons to be added as members, by name
	learners            map[string]learnerProgress // by name of the learner
	standbySince        map[string]time.Duration   // by name, since when a standby has been available

	// Shutdown.

	stopping      bool
	stoppingSince time.Duration // when the stop signal arrived
	exited        bool          // Exit has been emitted, and no more calls are accepted

	// Faults of this member.

	damage      []Damage // the latest undecodable data, for the status
	undecodable error    // why committed data of this epoch could not be decoded, nil if it could
	diskError   string   // why the disk rejects writes, "" if it accepts them

	// Leadership. See leadership.go and resume.go.

	leadership              Leadership
	leadershipSince         time.Duration   // when leadership last changed
	leadershipEpoch         uint64          // epoch of the current or last leadership
	leadershipTerm          uint64          // term of the current or last leadership
	leadershipTerms         []uint64        // terms of this leadership, several if it was lost and resumed
	lostLeadership          lostLeadership  // the last one that was lost
	leadershipLosses        []time.Duration // times of recent losses, within tuning.LeaseLossWindow
	leadershipTransferredAt time.Duration   // when it was last transferred because of repeated losses, 0: never

	// The leader's configuration.

	lastCheckedConfig checkedConfig
	activeConfig      *config.Config // nil before the first one is applied
	activeRevision    uint64         // revision of activeConfig, 0 if none has been applied

	// The leader's targets. resetLeadershipState replaces most of these maps by empty ones.

	targets         map[wire.TargetID]*target
	sortedTargetIDs []wire.TargetID           // cached by targetIDs
	claims          map[wire.TargetID]*target // targets whose name or address belongs to another target
	// tombstones holds when a target that signed off or was superseded last sent a report. Its reports are ignored.
	tombstones map[wire.TargetID]time.Duration
	// leavingTargets holds when a leaving target was removed or, while not admitted, reported that it leaves. It drains
	// again if it comes back.
	leavingTargets map[wire.TargetID]time.Duration
	// withdrawnInVersion holds, by leaving target, the version of the first table in which it is draining or absent, so
	// that a repeated report need not wait for a later table.
	withdrawnInVersion map[wire.TargetID]uint64
	domainRestoredAt   map[string]time.Duration // by domain, when it was last restored after being emptied
	lastShareOffset    map[string]uint32        // by service, the last share offset assigned
	shareOffsetByName  map[serviceTarget]uint32 // share offset of each target name, kept across restarts of the target
	nextProbeTarget    wire.TargetID            // the target with which the next tick continues the health checks
	lastCleanupAt      time.Duration            // when cleanUpTargets last removed expired entries

	// The target registrations in the log, including proposals not committed yet. See targetregistry.go.

	persistedRegistrations map[wire.TargetID]state.Registration
	persistedTombstones    map[wire.TargetID]bool // true: signed off or superseded, false: leaving
	registryPersistedAt    time.Duration          // when a write was last proposed
	persistSoon            bool                   // a target's report waits for the next write

	// Outlier detection.

	detector             *outlier.Detector
	scorer               *outlier.Scorer
	decisionCount        uint64 // decisions that took effect so far
	decisionCountAtTable uint64 // decisionCount when rebuildTableAfterTargetChange last compared all targets

	// Tables. See table.go and tabledelta.go.

	table                   *wire.Table                      // the latest of this leadership, nil if there is none
	tableVersion            uint64                           // version of the latest table
	tableMadeAt             [tuning.TablesKept]time.Duration // when each of the latest tables was built, by version modulo the length
	tableRefreshedAt        time.Duration                    // when a table was last built as a regular refresh, without a change
	demandPublishedAt       time.Duration                    // when a table last published the demand of targets
	compressedDocument      compressedDocument               // cached by documentForTables
	tableForms              map[tableFormKey]*wire.Table     // forms of the latest table that were sent to proxies
	removedTargets          []removedTarget                  // the latest targets removed from tables
	proxiesChangedInVersion uint64                           // version of the first table with the current list of proxies
	oldestDeltaBase         uint64                           // version of the earliest table that a delta can be based on
	latestMergedKey         wire.TableKey                    // key of the latest table that was merged while Gathering

	// Proxies.

	proxies          map[string]*proxyState // by name
	proxyChangeIndex uint64                 // log index of the last proposed change of the proxy membership
	proxiesRemoved   []string               // the proxies that this change removes

	// Calls.

	uncheckedCalls map[uint64]uncheckedCall // by call ID, changes whose callers are being checked
	order          changeOrder
	positions      positionHistory         // positions in the log that this member has known
	leaderPosition consensus.Position      // in the latest reply of a leader to a call that this daemon relayed
	pendingChanges map[string]*pendingCall // by token, changes that are proposed and not committed yet
	relayedCalls   map[uint64]*pendingCall // by relay ID, calls that were relayed to the leader and not answered yet
	lastRelayID    uint64                  // relay ID of the last call that was relayed
	waiters        []*inForceWaiter        // callers and state changes that wait until a table is in force
}

// New returns the state machine of a control daemon that starts from the state on its disk. The caller must have set
// persistentState.Disk, also for a new disk.
func New(now time.Duration, settings Settings, persistentState consensus.PersistentState) *Controller {
	c := &Controller{
		settings:              settings,
		startedAt:             now,
		persistentState:       persistentState,
		state:                 state.New(),
		directory:             discovery.Directory{},
		sentDirectories:       map[string]sentDirectory{},
		peerContacts:          map[string]contact{},
		bootstrapSize:         bootstrapSize(settings, persistentState),
		proxyRecoveredStates:  map[string]proxyRecoveredState{},
		unreadRecoveredStates: map[string][]byte{},
		requestedMembers:      map[string]bool{},
		learners:              map[string]learnerProgress{},
		domainRestoredAt:      map[string]time.Duration{},
		proxies:               map[string]*proxyState{},
		uncheckedCalls:        map[uint64]uncheckedCall{},
		pendingChanges:        map[string]*pendingCall{},
		relayedCalls:          map[uint64]*pendingCall{},
		lastRelayID:           settings.Self.Incarnation << relayIDBits,
	}
	c.settings.Self.Disk = persistentState.Disk
	if persistentState.Epoch != 0 {
		c.startNode(now)
	}
	c.positions.record(now, c.position())
	return c
}

// relayIDBits is the number of bits of a relay ID that count the calls of one process. The bits above hold the process's
// incarnation.
const relayIDBits = 20

// bootstrapSize returns the number of members that bootstrap the first control plane, 0 if this process may not.
func bootstrapSize(settings Settings, persistentState consensus.PersistentState) int {
	switch {
	case settings.BootstrapSize > 0:
		return settings.BootstrapSize
	case settings.Bootstrap && slices.Contains(settings.Seeds, settings.Self.Addr):
		return len(slices.Compact(slices.Sorted(slices.Values(settings.Seeds))))
	case persistentState.BootstrapLock != 0: // restarted during its bootstrap
		return len(persistentState.Founders)
	}
	return 0
}

// startNode starts the consensus node in the epoch of the persistent state and restores the snapshot.
func (c *Controller) startNode(now time.Duration) {
	c.node = consensus.New(now, c.settings.Self.Name, c.persistentState)
	c.undecodable = nil
	c.restoreSnapshot(&c.persistentState.Snapshot)
}

func (c *Controller) restoreSnapshot(snapshot *wire.Snapshot) {
	restored, err := state.Decode(snapshot.Data)
	if err != nil {
		c.abstainAfterDecodeError(fmt.Sprintf("snapshot %d", snapshot.Index), err)
		return
	}
	c.state = restored
}

// Step applies one event at the time now, which must not decrease between calls, and returns the commands to carry out in
// order. A call is answered by a statemachine.Reply among the commands of this step or of a later one.
func (c *Controller) Step(now time.Duration, event statemachine.Event) []statemachine.Command {
	// The lease may have expired since the last step. In that case this member must not handle the event as the leader.
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
	case statemachine.CallerChecked:
		c.callerChecked(now, e)
	case statemachine.Stop:
		c.stop(now)
	}
	c.applyNodeOutput(now)
	c.updateLeadership(now)
	if c.leadership == Leading {
		c.answerWaiters(now)
		c.applyNodeOutput(now)
	}
	c.positions.record(now, c.position())
	commands := c.commands
	c.commands = nil
	return commands
}

// applyNodeOutput processes the output of the consensus node until there is none left, since applying an entry may cause
// further proposals. Batches are emitted before messages. A message that depends on a synced batch is released by the
// node only after Synced.
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
		// A state that lacks an undecodable entry must not become a snapshot, which would replace the log with that entry.
		if c.undecodable == nil && c.node.SnapshotDue() {
			c.node.Compact(now, state.Encode(&c.state))
		}
	}
}

// handleSynced records that all batches up to seq are on disk. Those up to batchOffset were written before the current
// node started.
func (c *Controller) handleSynced(now time.Duration, seq uint64) {
	c.syncedSeq = max(c.syncedSeq, seq)
	if c.node != nil && seq > c.batchOffset {
		c.node.Advance(now, seq-c.batchOffset)
	}
}

// syncCheckpoint writes the whole persistent state, which replaces everything written before. No node may be running,
// since the numbers of its batches are relative to the last such write.
func (c *Controller) syncCheckpoint() {
	if c.node != nil {
		panic("syncCheckpoint called while a consensus node is running")
	}
	c.batchOffset++
	batch := c.persistentState.Checkpoint()
	batch.Seq = c.batchOffset
	c.emit(statemachine.Sync{Batch: batch})
}

// tick runs all periodic work. Each part checks by itself whether it is due.
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

// tickDiscovery sends hellos to the other daemons, removes expired ones from the directory, and takes the next step of a
// bootstrap if one is needed.
func (c *Controller) tickDiscovery(now time.Duration) {
	every := tuning.HelloEvery
	if now-c.startedAt < tuning.HelloStartup && c.activeLeader(now) == "" {
		every = tuning.PreVoteInterval // members that start together don't know one another's addresses yet
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
	case c.superseded(): // this member has locked a later epoch and must not take part in the node's
	case c.undecodable != nil:
		c.resign(now)
	default:
		c.node.Tick(now)
	}
}

// tickLeader runs the periodic work of a member that is Gathering or Leading.
func (c *Controller) tickLeader(now time.Duration) {
	c.probeTargets(now)
	c.evaluateTargets(now)
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
