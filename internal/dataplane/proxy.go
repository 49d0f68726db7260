// Package dataplane is the state machine of a proxy daemon: its table and lease, the choice of a target for each
// request, queues, retries and their budget, and what it does while the leader is out of reach. It is one pure
// Step(now, event) -> commands, without I/O, clock, randomness or locks: package daemon runs it in a process,
// the simulator in virtual time. It forwards no bytes itself, which is the task of package reverseproxy.
//
// A proxy serves only by a table that is known to be fresh. Leased: the leader answered a pull that was sent less
// than a lease ago. PeerServing: it has no lease, but a majority of the member proxies, itself included, answered
// within a peer lease, and it has applied the latest table among them. The leader calls a change in force only
// once a majority has confirmed it and all other leases have lapsed, so a proxy that serves on peer leases can't
// miss it. Otherwise the proxy is Isolated, or has NoTable yet, and rejects requests. Proxy.updateState decides which.
//
// Begin reading with Proxy and Step in proxy.go. A request goes through admission.go, routing.go, selection.go or
// slotselection.go, queue.go and attempts.go, and rejection.go has the reasons to reject it; lease.go, peers.go and
// table.go bring the table and the right to serve; quota.go and warmup.go share out what holds for all proxies
// together.
package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// State is by what right a proxy serves, if it does.
type State int

// The states.
const (
	NoTable     State = iota // there is no table yet
	Leased                   // the leader's lease runs
	PeerServing              // no lease, but peer leases of a majority
	Isolated                 // neither: requests are rejected
)

// String is the state's name on the wire, in /v1/status and in the log.
func (s State) String() string { return [...]string{"cold", "granted", "orphan", "cut"}[s] }

// Settings are what a proxy is started with.
type Settings struct {
	// Self describes this daemon to the others.
	Self wire.Daemon
	// Seeds are addresses of control daemons.
	Seeds []string
	// Retry is the retry budget of the whole fleet; without a window that of package tuning holds.
	Retry RetryBudget
	// GracePeriod is how long after it was asked to stop the process is ended by force. 0: not
	// known; a shutdown then takes tuning.ShutdownTimeout at most.
	GracePeriod time.Duration
	// ReadyWhenEmptied keeps the proxy of an emptied domain ready for callers.
	ReadyWhenEmptied bool
}

// Proxy is the state machine of a proxy daemon. One goroutine owns it.
type Proxy struct {
	settings Settings
	state    State
	commands []statemachine.Command // of the present step
	nameHash uint64                 // has proxies of different names begin at different targets and peers

	// Daemons, and what was said to the control plane and when.
	directory            discovery.Directory
	lastHelloAt          time.Duration
	lastPullAt           time.Duration
	pullAtNextTick       bool                     // the leader waits for the result of an indirect probe
	reportedSelf         wire.Daemon              // as of the last pull that described this proxy
	reportedTo           string                   // the leader that got that pull
	recoveredStateSentAt map[string]time.Duration // by control daemon's name and process

	// The leader and its lease.
	leaderEpoch      uint64        // the highest that a leader spoke with
	leaderTerm       uint64        // the highest of that epoch
	lastLeaderPushAt time.Duration // when a leader last sent anything
	leaderWantsTable bool          // it recovers, and collects the proxies' tables
	leaseUntil       time.Duration
	joined           bool // this process has had the right to serve: its own vote counts in a majority

	// Peer leases.
	lastPeerPollAt   time.Duration
	peerAskedAt      map[string]time.Duration // by peer
	peerConfirmedAt  map[string]time.Duration // by peer: when the poll was sent that it last confirmed
	peerTableAskedAt time.Duration            // when a peer was last asked for its table

	// The table and the configuration in it.
	table           *wire.Table
	configuration   *config.Config
	revision        uint64          // of the configuration
	reportedInvalid invalidDocument // the last one that was reported
	memberProxies   []string        // all proxies of the table
	liveProxies     []string        // those that share quotas now

	// Targets.
	targets      map[wire.TargetID]*targetState
	leavingSince map[wire.TargetID]time.Duration // targets that left or were replaced by a successor
	unreachable  map[wire.TargetID]bool          // as last reported
	reindexAt    time.Duration                   // when a warm-up ends or a warming share rises next, 0: never

	// Requests.
	requests   map[uint64]*request
	services   map[string]*serviceState
	routes     map[string]*routeState
	objectives map[string]*objectiveCounts
	rotation   uint64 // advances with each choice, so that ties don't always go to the same target

	// Buffers of chooseLeastLoaded, kept to save allocations.
	eligibleBuffer   []*targetState
	lastResortBuffer []*targetState

	// Shutdown.
	stopping         bool
	stopRequestedAt  time.Duration
	acceptingStopped bool // no more requests are taken

	// Counts are the proxy's counters.
	Counts Counts
}

// New returns a proxy that has just started and knows no table.
func New(settings Settings) *Proxy {
	if settings.Retry.Window < tuning.WindowBuckets {
		settings.Retry = RetryBudget{Ratio: 1 / float64(tuning.RetryShare), Window: tuning.RetryWindow, Slack: tuning.RetryFree}
	}
	return &Proxy{
		settings:             settings,
		nameHash:             hashOf(settings.Self.Name),
		directory:            discovery.Directory{},
		recoveredStateSentAt: map[string]time.Duration{},
		leaseUntil:           -1,
		peerAskedAt:          map[string]time.Duration{},
		peerConfirmedAt:      map[string]time.Duration{},
		configuration:        &config.Config{},
		targets:              map[wire.TargetID]*targetState{},
		leavingSince:         map[wire.TargetID]time.Duration{},
		requests:             map[uint64]*request{},
		services:             map[string]*serviceState{},
		routes:               map[string]*routeState{},
		objectives:           map[string]*objectiveCounts{},
	}
}

// Step takes one event in and returns the commands that follow from it, in order.
func (p *Proxy) Step(now time.Duration, event statemachine.Event) []statemachine.Command {
	p.updateState(now) // time may have passed since the last step, and with it a lease
	p.handle(now, event)
	p.updateState(now)
	commands := p.commands
	p.commands = nil
	return commands
}

func (p *Proxy) handle(now time.Duration, event statemachine.Event) {
	switch e := event.(type) {
	case statemachine.Receive:
		p.receive(now, e.Message)
	case statemachine.Tick:
		p.tick(now)
	case statemachine.ProbeResult:
		p.handleProbeResult(now, e)
	case statemachine.Call:
		p.answerCall(now, e)
	case statemachine.Stop:
		p.beginShutdown(now)
	case statemachine.Admit:
		p.admit(now, e)
	case statemachine.Retry:
		p.retry(now, e)
	case statemachine.AttemptDone:
		p.attemptDone(now, e)
	case statemachine.Cancel:
		p.cancel(now, e)
	}
}

func (p *Proxy) emit(command statemachine.Command) { p.commands = append(p.commands, command) }

// updateState sets the state from what is known at this moment.
func (p *Proxy) updateState(now time.Duration) {
	switch {
	case p.table == nil:
		p.setState(now, NoTable, "no table")
	case now < p.leaseUntil:
		p.setState(now, Leased, "the leader answers")
	case p.hasPeerMajority(now):
		p.joined = true
		p.setState(now, PeerServing, "a majority of proxies answers")
	default:
		p.setState(now, Isolated, "neither the leader nor a majority of proxies answers")
	}
}

func (p *Proxy) setState(now time.Duration, state State, reason string) {
	if state == p.state {
		return
	}
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectProxy, From: p.state.String(), To: state.String(), Reason: reason})
	p.state = state
	p.reindex(now)
	if state == Leased {
		// The leader decides on ejections again, and has had the reports of what was seen here meanwhile.
		for _, target := range p.targets {
			target.missedProbes, target.probePendingSince, target.probedAt, target.ownEjectionUntil = 0, 0, 0, 0
		}
	}
}

// Serving reports whether requests may be admitted now.
func (p *Proxy) Serving() bool { return p.state == Leased || p.state == PeerServing }

// Ready is what the platform's readiness check gets: the proxy of an emptied domain goes on serving
// but asks for no more callers.
func (p *Proxy) Ready() bool {
	return p.Serving() && !p.stopping && (p.settings.ReadyWhenEmptied || !slices.Contains(p.table.EmptiedDomains, p.settings.Self.Domain))
}

// State returns by what right the proxy serves.
func (p *Proxy) State() State { return p.state }

// Table returns the table in force here, nil: none yet.
func (p *Proxy) Table() *wire.Table { return p.table }

// Revision returns the revision of the configuration in force here.
func (p *Proxy) Revision() uint64 { return p.revision }

// InFlight returns how many requests are under way or queued.
func (p *Proxy) InFlight() int { return len(p.requests) }

// SetSeeds replaces the seed addresses.
func (p *Proxy) SetSeeds(seeds []string) { p.settings.Seeds = seeds }

// send sends a message to a daemon of the directory; to another, or to this one itself, nothing is sent.
func (p *Proxy) send(name string, message *wire.Message) {
	if peer := p.directory[name]; peer != nil && name != p.settings.Self.Name {
		message.To, message.From = name, p.settings.Self.Name
		p.emit(statemachine.Send{Addr: peer.Addr, Message: message})
	}
}

// selfReport describes this daemon as it is now.
func (p *Proxy) selfReport() wire.Daemon {
	self := p.settings.Self
	self.State, self.Ready = p.state.String(), p.table != nil && p.Ready()
	if p.table != nil {
		self.Epoch = p.table.Key.Epoch
	}
	return self
}

func (p *Proxy) receive(now time.Duration, message *wire.Message) {
	wire.DiscardNonFinite(message)
	switch message.Kind {
	case wire.KindHello:
		if message.Hello != nil {
			p.handleHello(now, message.From, message.Hello)
		}
	case wire.KindPush:
		if message.Push != nil {
			p.handlePush(now, message)
		}
	case wire.KindPull:
		if message.Pull != nil {
			p.answerPeer(now, message)
		}
	case wire.KindHeartbeat:
		if message.Heartbeat != nil {
			p.handleHeartbeat(now, *message.Heartbeat)
		}
	}
}

func (p *Proxy) tick(now time.Duration) {
	if now-p.lastHelloAt >= tuning.HelloLeasedEvery || now-p.lastHelloAt >= tuning.HelloEvery && p.doubtsLeader(now) {
		p.sendHellos(now)
	}
	if now-p.lastPullAt >= tuning.PullEvery || p.pullAtNextTick {
		p.pullTable(now)
	}
	if p.table != nil && p.hasNoLeader(now) && now-p.lastPeerPollAt >= tuning.PullEvery {
		p.lastPeerPollAt = now
		p.pollPeers(now)
	}
	if p.state != NoTable && p.hasNoLeader(now) {
		p.checkHealth(now)
	}
	if p.reindexAt > 0 && now >= p.reindexAt {
		p.reindex(now)
	}
	p.processQueues(now)
	p.reportUnreachable(now)
	p.tickShutdown(now)
}
