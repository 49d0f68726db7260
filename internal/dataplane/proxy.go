// Package dataplane implements the state machine of a proxy daemon: its table and lease, the choice of a target
// for each request, queues, retries and the retry budget, and its behaviour while the leader is unreachable. It
// is a pure function Step(now, event) -> commands, without I/O, clock, randomness or locks. Package daemon runs
// it in a process, and the simulator runs it in virtual time. It doesn't forward any bytes; that is the task of
// package reverseproxy.
//
// A proxy serves only by a table that is known to be up to date. In state Leased, the leader has answered a pull
// that was sent less than a lease ago. In state PeerServing, the proxy has no lease, but a majority of the
// member proxies, including itself, answered a poll that was sent less than a peer lease (tuning.PeerLease) ago,
// and it has applied the latest table among theirs. The leader reports a change as in force only after a
// majority has confirmed it and the leases of all other proxies have expired, so a proxy that serves on peer
// leases can't miss it. In any other case the proxy is Isolated, or has NoTable yet, and rejects requests.
// Proxy.updateState chooses the state.
//
// Begin reading with Proxy and Step in proxy.go. A request passes through admission.go, routing.go,
// selection.go or slotselection.go, queue.go and attempts.go; rejection.go has the reasons to reject it.
// lease.go, peers.go and table.go obtain the table and the right to serve. quota.go and warmup.go divide the
// limits that hold for all proxies together.
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

// State tells whether a proxy may serve requests, and on what grounds.
type State int

// States of a proxy.
const (
	NoTable     State = iota // no table has been received yet
	Leased                   // the leader's lease is valid
	PeerServing              // no lease, but peer leases of a majority
	Isolated                 // neither: requests are rejected
)

// String returns the state's name on the wire, in /v1/status and in the log.
func (s State) String() string { return [...]string{"cold", "granted", "orphan", "cut"}[s] }

// Settings configure a proxy when it starts.
type Settings struct {
	// Self describes this daemon to the others.
	Self wire.Daemon
	// Seeds are addresses of control daemons to contact first.
	Seeds []string
	// Retry is the retry budget of the whole fleet. If its Window is not set, the defaults of package tuning
	// apply.
	Retry RetryBudget
	// GracePeriod is the time from the request to stop until the process is killed. 0 means unknown; a shutdown
	// then takes at most tuning.ShutdownTimeout.
	GracePeriod time.Duration
	// ReadyWhenEmptied keeps the proxy ready for callers while its failure domain is emptied, so that the domain's
	// targets get no new requests.
	ReadyWhenEmptied bool
}

// Proxy is the state machine of a proxy daemon. It is owned by one goroutine.
type Proxy struct {
	settings Settings
	state    State
	commands []statemachine.Command // of the current step
	nameHash uint64                 // hash of this proxy's name; makes proxies begin with different targets and peers

	// Known daemons, and the messages sent to the control plane.
	directory            discovery.Directory
	lastHelloAt          time.Duration
	lastPullAt           time.Duration
	pullAtNextTick       bool                     // the leader waits for the answer to a probe that it requested
	reportedSelf         wire.Daemon              // as of the last pull with a description of this proxy
	reportedTo           string                   // the leader that received that pull
	recoveredStateSentAt map[string]time.Duration // by control daemon's process, see processKey

	// The leader and its lease.
	leaderEpoch      uint64        // the highest epoch of any leader push
	leaderTerm       uint64        // the highest term within that epoch
	lastLeaderPushAt time.Duration // when the last push of a leader was accepted
	leaderWantsTable bool          // the leader is recovering and collects the proxies' tables
	leaseUntil       time.Duration // end of the leader's lease, -1 if there was none
	hasServed        bool          // this process has had the right to serve, so it counts itself in a majority

	// Peer leases.
	lastPeerPollAt   time.Duration
	peerAskedAt      map[string]time.Duration // by peer: when it was last polled
	peerConfirmedAt  map[string]time.Duration // by peer: when the latest poll that it has confirmed was sent
	peerTableAskedAt time.Duration            // when any peer was last asked for its table

	// The current table and its configuration.
	table           *wire.Table
	configuration   *config.Config
	revision        uint64          // of the configuration
	reportedInvalid invalidDocument // the last invalid configuration that was reported
	memberProxies   []string        // all proxies of the table, by name
	liveProxies     []string        // the proxies among which quotas are divided now

	// Targets.
	targets      map[wire.TargetID]*targetState
	leavingSince map[wire.TargetID]time.Duration // when targets left or were replaced by a successor
	unreachable  map[wire.TargetID]bool          // as last reported, see reportUnreachable
	reindexAt    time.Duration                   // when a warm-up ends or a warming share rises next; 0 if neither is due

	// Requests.
	requests   map[uint64]*request
	services   map[string]*serviceState
	routes     map[string]*routeState
	objectives map[string]*objectiveCounts // by the name of the objective
	rotation   uint64                      // incremented with each choice, so that ties don't always go to the same target

	// Buffers of candidates, reused to save allocations.
	eligibleBuffer   []*targetState
	lastResortBuffer []*targetState

	// Shutdown.
	stopping        bool
	stopRequestedAt time.Duration
	departed        bool // no more requests are accepted or forwarded; the process waits for the leader to know
	departedAt      time.Duration
	exited          bool // Exit has been emitted

	// Counts holds the proxy's counters.
	Counts Counts
}

// New returns a proxy that has just started and has no table.
func New(settings Settings) *Proxy {
	if settings.Retry.Window < tuning.WindowBuckets {
		settings.Retry = RetryBudget{Ratio: 1 / float64(tuning.RetryRatioDivisor), Window: tuning.RetryWindow, Slack: tuning.RetrySlack}
	}
	return &Proxy{
		settings:             settings,
		nameHash:             hashString(settings.Self.Name),
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

// Step processes one event and returns the resulting commands in order.
func (p *Proxy) Step(now time.Duration, event statemachine.Event) []statemachine.Command {
	p.updateState(now) // a lease may have expired since the last step
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
		p.handleCall(now, e)
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

// updateState derives the state from the current leases and table.
func (p *Proxy) updateState(now time.Duration) {
	switch {
	case p.table == nil:
		p.setState(now, NoTable, "no table")
	case now < p.leaseUntil:
		p.setState(now, Leased, "the leader answers")
	case p.hasPeerMajority(now):
		p.hasServed = true
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
		// The leader decides on ejections again, so this proxy's own ones end. The pull that obtained the lease
		// reported the statistics of the time without a leader.
		for _, target := range p.targets {
			target.missedProbes, target.probePendingSince, target.probedAt, target.ownEjectionUntil = 0, 0, 0, 0
		}
	}
}

// Serving reports whether requests may be admitted now.
func (p *Proxy) Serving() bool { return !p.departed && (p.state == Leased || p.state == PeerServing) }

// Ready reports whether the proxy is ready for callers, for the platform's readiness check. The proxy of an
// emptied domain keeps serving but is not ready, so that it gets no more callers.
func (p *Proxy) Ready() bool {
	return p.Serving() && !p.stopping && (p.settings.ReadyWhenEmptied || !slices.Contains(p.table.EmptiedDomains, p.settings.Self.Domain))
}

// State returns whether the proxy may serve, and on what grounds.
func (p *Proxy) State() State { return p.state }

// Table returns the current table, or nil if there is none yet.
func (p *Proxy) Table() *wire.Table { return p.table }

// Revision returns the revision of the current configuration.
func (p *Proxy) Revision() uint64 { return p.revision }

// InFlight returns the number of requests in flight or queued.
func (p *Proxy) InFlight() int { return len(p.requests) }

// SetSeeds replaces the seed addresses.
func (p *Proxy) SetSeeds(seeds []string) { p.settings.Seeds = seeds }

// send sends a message to a daemon of the directory. It sends nothing to an unknown daemon or to this one
// itself.
func (p *Proxy) send(name string, message *wire.Message) {
	if peer := p.directory[name]; peer != nil && name != p.settings.Self.Name {
		message.To, message.From = name, p.settings.Self.Name
		p.emit(statemachine.Send{Addr: peer.Addr, Message: message})
	}
}

// selfReport returns the current description of this daemon.
func (p *Proxy) selfReport() wire.Daemon {
	self := p.settings.Self
	self.State, self.Ready = p.state.String(), p.table != nil && p.Ready()
	if p.departed {
		self.State = wire.ProxyDeparted
	}
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
			p.handlePeerPull(now, message)
		}
	case wire.KindHeartbeat:
		if message.Heartbeat != nil {
			p.handleHeartbeat(now, *message.Heartbeat)
		}
	}
}

func (p *Proxy) tick(now time.Duration) {
	if now-p.lastHelloAt >= tuning.HelloLeasedEvery || now-p.lastHelloAt >= tuning.HelloEvery && p.suspectsLeader(now) {
		p.sendHellos(now)
	}
	if now-p.lastPullAt >= tuning.PullEvery || p.pullAtNextTick {
		p.pullTable(now)
	}
	if p.table != nil && p.leaderUnreachable(now) && now-p.lastPeerPollAt >= tuning.PullEvery {
		p.lastPeerPollAt = now
		p.pollPeers(now)
	}
	if p.state != NoTable && p.leaderUnreachable(now) {
		p.checkHealth(now)
	}
	if p.reindexAt > 0 && now >= p.reindexAt {
		p.reindex(now)
	}
	p.processQueues(now)
	p.reportUnreachable(now)
	p.tickShutdown(now)
}
